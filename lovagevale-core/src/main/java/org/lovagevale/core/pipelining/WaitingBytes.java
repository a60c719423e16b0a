package org.lovagevale.core.pipelining;

/**
 * The size of the responses that wait on one connection for their turn, and whether more
 * of them may be read.
 *
 * <p>
 * Invariant: the size is never negative. Not thread-safe.
 */
public final class WaitingBytes {

	/**
	 * Size from which no more of the waiting responses of a connection is read, in bytes.
	 * Three responses of 40 KB fit, so the slots of most requests are free before their
	 * turn.
	 */
	public static final long MAX_BYTES = 131_072;

	private long bytes;

	/**
	 * Adds a part that waits.
	 * @param partBytes its size in bytes
	 * @throws IllegalArgumentException if the size is negative
	 */
	public void add(long partBytes) {
		if (partBytes < 0) {
			throw new IllegalArgumentException("negative size " + partBytes);
		}
		this.bytes += partBytes;
	}

	/**
	 * Removes parts that do not wait any longer.
	 * @param partBytes their size in bytes
	 * @throws IllegalArgumentException if the size is negative or more than what waits
	 */
	public void remove(long partBytes) {
		if (partBytes < 0 || partBytes > this.bytes) {
			throw new IllegalArgumentException("size " + partBytes + " of " + this.bytes + " waiting bytes");
		}
		this.bytes -= partBytes;
	}

	/**
	 * Tells whether no more may be read.
	 * @return {@code true} if the limit is reached
	 */
	public boolean isFull() {
		return this.bytes >= MAX_BYTES;
	}

	/**
	 * Returns the size of what waits.
	 * @return the size in bytes
	 */
	public long bytes() {
		return this.bytes;
	}

}
