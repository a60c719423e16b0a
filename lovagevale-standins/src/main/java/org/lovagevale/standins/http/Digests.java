package org.lovagevale.standins.http;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Creates message digests.
 *
 * <p>
 * Thread-safe.
 */
final class Digests {

	private Digests() {
	}

	static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available, although every Java platform must support it",
					ex);
		}
	}

}
