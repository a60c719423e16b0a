package org.lovagevale.standins.http;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counters named by an enumeration.
 *
 * <p>
 * Thread-safe.
 *
 * @param <K> the names
 */
public final class Counters<K extends Enum<K>> {

	private final Map<K, LongAdder> values;

	/**
	 * Creates counters that are all 0.
	 * @param names the names
	 */
	public Counters(Class<K> names) {
		this.values = new EnumMap<>(names);
		for (K name : names.getEnumConstants()) {
			this.values.put(name, new LongAdder());
		}
	}

	/**
	 * Adds one.
	 * @param name the counter
	 */
	public void increment(K name) {
		adder(name).increment();
	}

	/**
	 * Returns a value.
	 * @param name the counter
	 * @return its value
	 */
	public long get(K name) {
		return adder(name).sum();
	}

	/**
	 * Returns all values.
	 * @return the values by name in lower case
	 */
	public Map<String, Long> toMap() {
		Map<String, Long> result = new TreeMap<>();
		this.values.forEach((name, value) -> result.put(name.name().toLowerCase(Locale.ROOT), value.sum()));
		return result;
	}

	private LongAdder adder(K name) {
		LongAdder adder = this.values.get(name);
		if (adder == null) {
			throw new IllegalArgumentException("unknown counter: " + name);
		}
		return adder;
	}

}
