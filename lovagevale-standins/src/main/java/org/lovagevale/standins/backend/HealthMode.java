package org.lovagevale.standins.backend;

/**
 * How the health endpoint of a backend server answers.
 */
public enum HealthMode {

	/** 200 with the load header. */
	OK,

	/** 500 with the load header, also when the server works. */
	ERROR,

	/** No answer. */
	HANG

}
