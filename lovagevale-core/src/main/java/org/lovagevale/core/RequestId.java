package org.lovagevale.core;

/**
 * The identity of a request within one process.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param value a number that grows with each request
 */
public record RequestId(long value) {

	@Override
	public String toString() {
		return Long.toHexString(this.value);
	}

}
