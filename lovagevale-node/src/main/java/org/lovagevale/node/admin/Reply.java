package org.lovagevale.node.admin;

/**
 * A response of the admin port.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param status the HTTP status
 * @param type the content type
 * @param body the body
 */
record Reply(int status, String type, String body) {

	private static final String JSON = "application/json";

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	static Reply ok(Object view) {
		return new Reply(OK, JSON, AdminJson.write(view));
	}

	static Reply notFound(String message) {
		return new Reply(NOT_FOUND, JSON, AdminJson.write(new Problem(message)));
	}

	static Reply unavailable(Object view) {
		return new Reply(UNAVAILABLE, JSON, AdminJson.write(view));
	}

	static Reply text(String type, String body) {
		return new Reply(OK, type, body);
	}

}
