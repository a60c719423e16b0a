package org.lovagevale.gateway.http;

/**
 * Data from a backend server or an entry VM that is no part of the expected response.
 */
enum UnexpectedData {

	/** A response that carries the ID of another request. */
	OTHER_REQUEST,

	/** Data while no request is in progress. */
	NO_REQUEST,

	/** Data directly behind the end of a response. */
	AFTER_RESPONSE,

	/**
	 * Data that cannot be decoded, or a head that has the status line of another one
	 * inside.
	 */
	MALFORMED

}
