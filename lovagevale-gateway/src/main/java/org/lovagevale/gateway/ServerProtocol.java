package org.lovagevale.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.ServerName;
import org.lovagevale.core.placing.ServerLoad;

/**
 * The meaning of the headers that callers, entry processes and backend servers exchange.
 *
 * <p>
 * Implementations are stateless and thread-safe.
 */
public interface ServerProtocol {

	/** The caller stated no time. */
	long NO_TIME = -1;

	/** The caller stated a time that cannot be read. */
	long MALFORMED_TIME = -2;

	/**
	 * Returns the identity of a request or of the request that a response belongs to.
	 * @param headers the headers
	 * @return the identity, or {@code null} if there is none
	 */
	@Nullable String requestId(HttpHeaders headers);

	/**
	 * Returns how long a caller waits.
	 * @param headers the headers of the request
	 * @return milliseconds, {@link #NO_TIME} or {@link #MALFORMED_TIME}
	 */
	long callerTimeoutMs(HttpHeaders headers);

	/**
	 * Sets the headers that a backend server expects.
	 * @param headers the headers to be sent
	 * @param timeLeftMs the time left for the response, in milliseconds
	 * @param server the only server that may run the request
	 */
	void setServerHeaders(HttpHeaders headers, long timeLeftMs, ServerName server);

	/**
	 * Tells whether a response bears the mark of a backend server.
	 * @param headers the headers of the response
	 * @return {@code true} if it does
	 */
	boolean isSigned(HttpHeaders headers);

	/**
	 * Tells whether a response states that the request was not run.
	 * @param status the status
	 * @param headers the headers of the response
	 * @return {@code true} if it was not run
	 */
	boolean isNotExecuted(int status, HttpHeaders headers);

	/**
	 * Tells whether a response states that another server has the address.
	 * @param status the status
	 * @return {@code true} if it does
	 */
	boolean isReplaced(int status);

	/**
	 * Returns the load that a response tells.
	 * @param headers the headers of the response
	 * @return the load, or {@link ServerLoad#UNKNOWN}
	 */
	ServerLoad load(HttpHeaders headers);

	/**
	 * Returns the server that a health response comes from.
	 * @param headers the headers of the response
	 * @return its identity, or {@code null} if there is none
	 */
	@Nullable String instanceId(HttpHeaders headers);

	/**
	 * Returns how long a server stays cold.
	 * @param headers the headers of a health response
	 * @return milliseconds, negative if it does not tell
	 */
	long warmupLeftMs(HttpHeaders headers);

	/**
	 * Sets when a caller may come back.
	 * @param headers the headers of a rejection
	 * @param afterMs milliseconds
	 */
	void setRetryAfter(HttpHeaders headers, long afterMs);

	/**
	 * Returns when the sender of a rejection wants to be asked again.
	 * @param headers the headers of the rejection
	 * @return milliseconds, {@link #NO_TIME} if it does not tell
	 */
	long retryAfterMs(HttpHeaders headers);

	/**
	 * Sets the headers of a request that is passed on to another entry VM.
	 * @param headers the headers to be sent
	 * @param timeLeftMs the time left for the response, in milliseconds
	 * @param caller the address of the caller
	 */
	void setRelayHeaders(HttpHeaders headers, long timeLeftMs, String caller);

	/**
	 * Returns the caller of a request that another entry VM passed on.
	 * @param headers the headers of the request
	 * @return the address of the caller, or {@code null} if the request comes from a
	 * caller
	 */
	@Nullable String relayedCaller(HttpHeaders headers);

}
