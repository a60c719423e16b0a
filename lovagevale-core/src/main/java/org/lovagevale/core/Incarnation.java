package org.lovagevale.core;

import java.util.Comparator;

/**
 * Identifies one run of an entry process. A restarted process has a higher incarnation.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param startEpochMillis the wall-clock time of the start in milliseconds since the Unix
 * epoch
 * @param salt random bits that distinguish two starts in the same millisecond
 */
public record Incarnation(long startEpochMillis, int salt) implements Comparable<Incarnation> {

	private static final Comparator<Incarnation> ORDER = Comparator.comparingLong(Incarnation::startEpochMillis)
		.thenComparingInt(Incarnation::salt);

	private static final int HEX_RADIX = 16;

	/**
	 * Parses the form returned by {@link #toString()}.
	 * @param text the text
	 * @return the incarnation
	 * @throws IllegalArgumentException if the text does not have this form
	 */
	public static Incarnation parse(String text) {
		int dash = text.indexOf('-');
		if (dash <= 0) {
			throw new IllegalArgumentException(
					"incarnation must have the form start-salt in hexadecimal: \"" + text + "\"");
		}
		long start = Long.parseUnsignedLong(text.substring(0, dash), HEX_RADIX);
		int salt = Integer.parseUnsignedInt(text.substring(dash + 1), HEX_RADIX);
		return new Incarnation(start, salt);
	}

	@Override
	public int compareTo(Incarnation other) {
		return ORDER.compare(this, other);
	}

	@Override
	public String toString() {
		return Long.toHexString(this.startEpochMillis) + "-" + Integer.toHexString(this.salt);
	}

}
