package org.lovagevale.core;

import java.util.Comparator;

/**
 * One run of an entry process; a restarted process has a higher incarnation.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param startEpochMillis wall time of the start in milliseconds since the epoch
 * @param salt random bits that tell apart two starts in the same millisecond
 */
public record Incarnation(long startEpochMillis, int salt) implements Comparable<Incarnation> {

	private static final Comparator<Incarnation> ORDER = Comparator.comparingLong(Incarnation::startEpochMillis)
		.thenComparingInt(Incarnation::salt);

	private static final int HEX = 16;

	/**
	 * Parses the form made by {@link #toString()}.
	 * @param text the text
	 * @return the incarnation
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static Incarnation parse(String text) {
		int dash = text.indexOf('-');
		if (dash <= 0) {
			throw new IllegalArgumentException("invalid incarnation: \"" + text + "\"");
		}
		long start = Long.parseUnsignedLong(text.substring(0, dash), HEX);
		int salt = Integer.parseUnsignedInt(text.substring(dash + 1), HEX);
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
