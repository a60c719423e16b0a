package org.lovagevale.standins.platform;

/**
 * The failure that the platform stand-in simulates.
 */
public enum OutageMode {

	/** No failure. */
	NONE,

	/** Each request is answered with status 503. */
	ERROR,

	/** No request is answered. */
	HANG,

	/** The connection of each request is closed without a response. */
	CLOSE

}
