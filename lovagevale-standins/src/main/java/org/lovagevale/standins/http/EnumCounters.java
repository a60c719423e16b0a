package org.lovagevale.standins.http;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * A set of counters, one for each constant of an enumeration.
 *
 * <p>
 * Thread-safe.
 *
 * @param <K> the type of the enumeration
 */
public final class EnumCounters<K extends Enum<K>> {

	private final Map<K, LongAdder> values;

	/**
	 * Creates the counters with the value 0.
	 * @param type the class of the enumeration
	 */
	public EnumCounters(Class<K> type) {
		this.values = new EnumMap<>(type);
		for (K counter : type.getEnumConstants()) {
			this.values.put(counter, new LongAdder());
		}
	}

	/**
	 * Increments a counter.
	 * @param counter the counter
	 */
	public void increment(K counter) {
		adder(counter).increment();
	}

	/**
	 * Returns the value of a counter.
	 * @param counter the counter
	 * @return its value
	 */
	public long get(K counter) {
		return adder(counter).sum();
	}

	/**
	 * Returns the values of all counters.
	 * @return the values by counter name in lower case
	 */
	public Map<String, Long> toMap() {
		Map<String, Long> result = new TreeMap<>();
		this.values.forEach((counter, value) -> result.put(counter.name().toLowerCase(Locale.ROOT), value.sum()));
		return result;
	}

	private LongAdder adder(K counter) {
		LongAdder adder = this.values.get(counter);
		if (adder == null) {
			throw new IllegalArgumentException("unknown counter: " + counter);
		}
		return adder;
	}

}
