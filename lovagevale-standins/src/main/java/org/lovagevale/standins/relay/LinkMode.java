package org.lovagevale.standins.relay;

/**
 * How a relay handles the bytes of one direction.
 */
public enum LinkMode {

	/** Forwards the bytes after the delay. */
	FORWARD,

	/**
	 * Holds the bytes until the mode changes. This simulates a network partition, after
	 * which TCP delivers the data that it could not deliver before.
	 */
	HOLD,

	/** Discards the bytes, so that the receiver sees a gap in the stream. */
	DISCARD

}
