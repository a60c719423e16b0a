package org.lovagevale.standins.backend;

/**
 * The response of the health endpoint of a backend server.
 */
public enum HealthMode {

	/** Status 200 with the load header. */
	OK,

	/** Status 500 with the load header, although the server handles other requests. */
	ERROR,

	/** No response. */
	HANG

}
