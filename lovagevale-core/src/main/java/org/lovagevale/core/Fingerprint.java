package org.lovagevale.core;

/**
 * A hash that identifies what a request asks for. Repetitions of a request have the same
 * fingerprint.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param value the hash in lower-case hexadecimal digits
 */
public record Fingerprint(String value) {

	@Override
	public String toString() {
		return this.value;
	}

}
