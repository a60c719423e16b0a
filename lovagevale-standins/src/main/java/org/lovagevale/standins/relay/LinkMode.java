package org.lovagevale.standins.relay;

/**
 * How a relay handles the bytes that flow in one direction.
 */
public enum LinkMode {

	/** Forwards the bytes after the delay. */
	FORWARD,

	/**
	 * Holds the bytes until the mode changes. This simulates a network partition: when it
	 * ends, TCP delivers the data sent in the meantime.
	 */
	HOLD,

	/** Discards the bytes, so that the receiver sees a gap in the stream. */
	DISCARD

}
