package org.lovagevale.standins.backend;

import java.time.Duration;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The time for which a request runs on a backend server stand-in, constant or
 * exponentially distributed. Its text form is {@code fixed:MS} or {@code exp:MS}, where
 * MS is the mean in milliseconds and may be a decimal number.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param exponential whether the times are exponentially distributed
 * @param meanMs the mean in milliseconds, not negative
 */
public record ServiceTime(boolean exponential, double meanMs) {

	private static final String FIXED = "fixed:";

	private static final String EXPONENTIAL = "exp:";

	private static final double NANOS_PER_MILLI = 1_000_000;

	/**
	 * Checks the mean.
	 * @throws IllegalArgumentException if the mean is negative or not finite
	 */
	public ServiceTime {
		if (!(meanMs >= 0) || Double.isInfinite(meanMs)) {
			throw new IllegalArgumentException("service time must not be negative: " + meanMs);
		}
	}

	/**
	 * Returns a constant service time.
	 * @param ms the time in milliseconds
	 * @return the service time
	 */
	public static ServiceTime fixed(double ms) {
		return new ServiceTime(false, ms);
	}

	/**
	 * Parses {@code fixed:MS} or {@code exp:MS}.
	 * @param text the text
	 * @return the service time
	 * @throws IllegalArgumentException if the text has another form or the mean is
	 * invalid
	 */
	@JsonCreator
	public static ServiceTime parse(String text) {
		if (text.startsWith(FIXED)) {
			return new ServiceTime(false, Double.parseDouble(text.substring(FIXED.length())));
		}
		if (text.startsWith(EXPONENTIAL)) {
			return new ServiceTime(true, Double.parseDouble(text.substring(EXPONENTIAL.length())));
		}
		throw new IllegalArgumentException("a service time has the form fixed:MS or exp:MS, not \"" + text + "\"");
	}

	Duration sample(RandomGenerator random, double factor) {
		double ms = this.meanMs * factor;
		if (this.exponential) {
			ms *= random.nextExponential();
		}
		return Duration.ofNanos(Math.round(ms * NANOS_PER_MILLI));
	}

	@Override
	@JsonValue
	public String toString() {
		return (this.exponential ? EXPONENTIAL : FIXED) + this.meanMs;
	}

}
