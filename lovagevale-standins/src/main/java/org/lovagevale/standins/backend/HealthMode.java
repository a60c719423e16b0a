package org.lovagevale.standins.backend;

/**
 * How the health endpoint of a backend server stand-in responds.
 */
public enum HealthMode {

	/** Status 200 with the load header. */
	OK,

	/** Status 500 with the load header, although the server handles other requests. */
	ERROR,

	/** No response. */
	HANG

}
