package org.lovagevale.core;

/**
 * Identifies a request within one process.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param value a number that increases with each request
 */
public record RequestId(long value) {

	@Override
	public String toString() {
		return Long.toHexString(this.value);
	}

}
