package org.lovagevale.standins.backend;

/**
 * One run of a request on a backend server stand-in.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param server the name of the server
 * @param boot its boot identifier
 * @param method the HTTP method
 * @param path the path with query
 * @param key the idempotency key, empty if none
 * @param requestId the request identifier, empty if none
 * @param attempt the attempt identifier, empty if none
 * @param account the client account, empty if none
 * @param atEpochMs the start of the run, in milliseconds since the epoch
 * @param cold whether the server was cold
 */
public record Run(String server, String boot, String method, String path, String key, String requestId, String attempt,
		String account, long atEpochMs, boolean cold) {
}
