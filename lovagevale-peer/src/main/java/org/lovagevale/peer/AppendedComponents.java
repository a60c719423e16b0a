package org.lovagevale.peer;

import java.util.Arrays;

import org.jspecify.annotations.Nullable;

/**
 * Completes messages of an older version whose record has got further components since.
 *
 * <p>
 * The components of a message are the last part of its encoded form, so the defaults of
 * the appended ones can follow them. Stateless and thread-safe.
 */
enum AppendedComponents {

	/** No time of sending. */
	ROSTER_BEAT(PeerMessageType.ROSTER_BEAT, 1, 0),

	/**
	 * A contact that begins and ends now, no missing and no retained items, and no time
	 * of sending.
	 */
	CATALOG_NEWS(PeerMessageType.CATALOG_NEWS, 6, 0, 0, AppendedComponents.SHORT_ARRAY, AppendedComponents.SHORT_ARRAY,
			0);

	private static final int CODE_INDEX = 1;

	private static final int COMPONENTS_INDEX = 2;

	/**
	 * First byte of an encoded array with fewer than 16 elements, without their number.
	 */
	private static final int SHORT_ARRAY = 0x90;

	private final PeerMessageType type;

	private final int formerComponents;

	/** The encoded defaults, of one byte each. */
	private final byte[] defaults;

	AppendedComponents(PeerMessageType type, int formerComponents, int... defaults) {
		this.type = type;
		this.formerComponents = formerComponents;
		this.defaults = new byte[defaults.length];
		for (int i = 0; i < defaults.length; i++) {
			this.defaults[i] = (byte) defaults[i];
		}
	}

	/**
	 * Returns a message in the form of this version.
	 * @param encoded the valid encoded message
	 * @return the message itself unless its sender has an older version
	 */
	static byte[] complete(byte[] encoded) {
		if (encoded.length <= COMPONENTS_INDEX) {
			return encoded;
		}
		AppendedComponents appended = find(encoded[CODE_INDEX], encoded[COMPONENTS_INDEX]);
		if (appended == null) {
			return encoded;
		}
		int count = appended.defaults.length;
		byte[] completed = Arrays.copyOf(encoded, encoded.length + count);
		System.arraycopy(appended.defaults, 0, completed, encoded.length, count);
		completed[COMPONENTS_INDEX] += (byte) count;
		return completed;
	}

	private static @Nullable AppendedComponents find(byte code, byte components) {
		for (AppendedComponents appended : values()) {
			if (code == appended.type.code() && components == (byte) (SHORT_ARRAY | appended.formerComponents)) {
				return appended;
			}
		}
		return null;
	}

}
