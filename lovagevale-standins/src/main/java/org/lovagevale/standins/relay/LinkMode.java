package org.lovagevale.standins.relay;

/**
 * What a relay does with the bytes of one direction.
 */
public enum LinkMode {

	/** Passes them on after the delay. */
	FORWARD,

	/**
	 * Keeps them until the mode changes, like a partition: TCP delivers late what it
	 * could not deliver before.
	 */
	HOLD,

	/** Discards them, so that the receiver sees a gap. */
	DISCARD

}
