package org.lovagevale.peer;

import java.util.Arrays;

/**
 * Completes messages of an older version whose record has got further components since.
 *
 * <p>
 * The components of a message are the last part of its encoded form, so the defaults of
 * the appended ones can follow them. Only {@code CATALOG_NEWS} has appended components: a
 * contact that begins and ends now, no missing and no retained items, and no time of
 * sending. Stateless and thread-safe.
 */
final class AppendedComponents {

	private static final int CATALOG_NEWS_COMPONENTS = 6;

	private static final byte[] CATALOG_NEWS_DEFAULTS = { 0, 0, (byte) 0x90, (byte) 0x90, 0 };

	private static final int CODE_INDEX = 1;

	private static final int COMPONENTS_INDEX = 2;

	/**
	 * First byte of an encoded array with fewer than 16 elements, without their number.
	 */
	private static final int SHORT_ARRAY = 0x90;

	private AppendedComponents() {
	}

	/**
	 * Returns a message in the form of this version.
	 * @param encoded the valid encoded message
	 * @return the message itself unless its sender has an older version
	 */
	static byte[] complete(byte[] encoded) {
		if (encoded.length <= COMPONENTS_INDEX || encoded[CODE_INDEX] != PeerMessageType.CATALOG_NEWS.code()
				|| encoded[COMPONENTS_INDEX] != (byte) (SHORT_ARRAY | CATALOG_NEWS_COMPONENTS)) {
			return encoded;
		}
		byte[] completed = Arrays.copyOf(encoded, encoded.length + CATALOG_NEWS_DEFAULTS.length);
		System.arraycopy(CATALOG_NEWS_DEFAULTS, 0, completed, encoded.length, CATALOG_NEWS_DEFAULTS.length);
		completed[COMPONENTS_INDEX] = (byte) (SHORT_ARRAY | CATALOG_NEWS_COMPONENTS + CATALOG_NEWS_DEFAULTS.length);
		return completed;
	}

}
