package org.lovagevale.gateway.http;

/**
 * The size of a header section up to which it is decoded in any turn of the event loop.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param lines the maximum number of lines
 * @param bytes the maximum size in bytes
 */
record TurnLimits(int lines, int bytes) {

	/** Each section is decoded in any turn. */
	static final TurnLimits NONE = new TurnLimits(Integer.MAX_VALUE, Integer.MAX_VALUE);

	/**
	 * Tells whether a section is decoded in a long turn only.
	 * @param sectionLines the number of its lines
	 * @param sectionBytes its size in bytes
	 * @return {@code true} if it exceeds one of the limits
	 */
	boolean isExceeded(int sectionLines, int sectionBytes) {
		return sectionLines > this.lines || sectionBytes > this.bytes;
	}

}
