package org.lovagevale.standins.http;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * A set of counters identified by the constants of an enumeration.
 *
 * <p>
 * Thread-safe.
 *
 * @param <K> the enumeration
 */
public final class EnumCounters<K extends Enum<K>> {

	private final Map<K, LongAdder> values;

	/**
	 * Creates a counter for each constant, with the value 0.
	 * @param names the enumeration
	 */
	public EnumCounters(Class<K> names) {
		this.values = new EnumMap<>(names);
		for (K name : names.getEnumConstants()) {
			this.values.put(name, new LongAdder());
		}
	}

	/**
	 * Increments a counter.
	 * @param name the counter
	 */
	public void increment(K name) {
		adder(name).increment();
	}

	/**
	 * Returns the value of a counter.
	 * @param name the counter
	 * @return its value
	 */
	public long get(K name) {
		return adder(name).sum();
	}

	/**
	 * Returns the values of all counters.
	 * @return the values by counter name in lower case
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
