package org.lovagevale.standins.http;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Message digests.
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
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
