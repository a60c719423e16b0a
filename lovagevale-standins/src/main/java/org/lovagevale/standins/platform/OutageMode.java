package org.lovagevale.standins.platform;

/**
 * How the platform fails.
 */
public enum OutageMode {

	/** It works. */
	NONE,

	/** Each request is answered with 503. */
	ERROR,

	/** No request is answered. */
	HANG,

	/** Each connection is closed. */
	CLOSE

}
