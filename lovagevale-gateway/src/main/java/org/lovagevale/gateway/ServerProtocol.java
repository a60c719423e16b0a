package org.lovagevale.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.ServerName;
import org.lovagevale.core.placing.ServerLoad;

/**
 * Reads and writes the headers that callers, entry processes and backend servers
 * exchange.
 *
 * <p>
 * Implementations are stateless and thread-safe.
 */
public interface ServerProtocol {

	/** Returned if no header states a time. */
	long NO_TIME = -1;

	/** Returned if the time in a header cannot be parsed. */
	long MALFORMED_TIME = -2;

	/**
	 * Returns the identity of a request, or of the request that a response belongs to.
	 * @param headers the headers of the request or response
	 * @return the identity, or {@code null} if there is none
	 */
	@Nullable String requestId(HttpHeaders headers);

	/**
	 * Returns the time for which the caller waits for the response.
	 * @param headers the headers of the request
	 * @return the time in milliseconds, {@link #NO_TIME} or {@link #MALFORMED_TIME}
	 */
	long callerTimeoutMs(HttpHeaders headers);

	/**
	 * Returns the credential of a request.
	 * @param headers the headers of the request
	 * @return the credential, or {@code null} if there is none or more than one
	 */
	@Nullable String credential(HttpHeaders headers);

	/**
	 * Sets the headers of a request that is sent to a backend server. Removes the
	 * credential, and the name of an account that the caller stated.
	 * @param headers the headers of the request
	 * @param timeLeftMs the time left for the response, in milliseconds
	 * @param server the server that the request is for; any other must not run it
	 * @param account the client account of the request, or {@code null} if there is none
	 */
	void setServerHeaders(HttpHeaders headers, long timeLeftMs, ServerName server, @Nullable AccountName account);

	/**
	 * Returns whether a response has the signature header of a backend server.
	 * @param headers the headers of the response
	 * @return {@code true} if the header is present
	 */
	boolean isSigned(HttpHeaders headers);

	/**
	 * Returns whether a response states that the server did not run the request, so that
	 * the request can safely be sent again.
	 * @param status the status code
	 * @param headers the headers of the response
	 * @return {@code true} if the request was not run
	 */
	boolean isNotExecuted(int status, HttpHeaders headers);

	/**
	 * Returns whether a response states that the address now belongs to another server
	 * than the expected one.
	 * @param status the status code
	 * @param headers the headers of the response
	 * @return {@code true} if the expected server was replaced
	 */
	boolean isReplaced(int status, HttpHeaders headers);

	/**
	 * Returns whether callers take a status for the statement that their request was not
	 * run and never will be.
	 * @param status the status code
	 * @return {@code true} if only a request that was not run may get the status
	 */
	boolean isNotRunStatus(int status);

	/**
	 * Returns whether a response states that its server is leaving.
	 * @param headers the headers of the response
	 * @return {@code true} if nothing new may be sent to the server
	 */
	boolean isLeaving(HttpHeaders headers);

	/**
	 * Returns the time for which a server that rejected a request wants no further
	 * requests.
	 * @param status the status code of the response
	 * @param headers the headers of the response
	 * @return the time in milliseconds, {@link #NO_TIME} if the response states none or
	 * one that is not a positive number
	 */
	long pauseMs(int status, HttpHeaders headers);

	/**
	 * Returns the server load that a response reports.
	 * @param headers the headers of the response
	 * @return the load, or {@link ServerLoad#UNKNOWN} if none is reported
	 */
	ServerLoad load(HttpHeaders headers);

	/**
	 * Returns the name of the server that sent a health response.
	 * @param headers the headers of the response
	 * @return the name, or {@code null} if there is none
	 */
	@Nullable String instanceId(HttpHeaders headers);

	/**
	 * Returns the remaining warm-up time of the server that sent a health response.
	 * @param headers the headers of the response
	 * @return the time in milliseconds, negative if the response does not state it
	 */
	long warmupLeftMs(HttpHeaders headers);

	/**
	 * Sets the time after which a caller may retry.
	 * @param headers the headers of the rejection
	 * @param afterMs the time in milliseconds
	 */
	void setRetryAfter(HttpHeaders headers, long afterMs);

	/**
	 * Returns the time after which a rejected request may be retried.
	 * @param headers the headers of the rejection
	 * @return the time in milliseconds, or {@link #NO_TIME} if the response does not
	 * state it
	 */
	long retryAfterMs(HttpHeaders headers);

	/**
	 * Sets the headers of a request that is relayed to another entry VM. The credential
	 * is kept.
	 * @param headers the headers of the request
	 * @param timeLeftMs the time left for the response, in milliseconds
	 * @param caller the address of the caller
	 * @param receiver the incarnation of the process that receives the request; empty if
	 * it is not known
	 */
	void setRelayHeaders(HttpHeaders headers, long timeLeftMs, String caller, String receiver);

	/**
	 * Returns the incarnation of the process that a relayed request is for, which only
	 * entry processes know.
	 * @param headers the headers of the request
	 * @return the incarnation, or {@code null} if it is not stated
	 */
	@Nullable String relayReceiver(HttpHeaders headers);

	/**
	 * Returns the original caller of a request that another entry VM relayed.
	 * @param headers the headers of the request
	 * @return the address of the caller, or {@code null} if the request was sent by the
	 * caller itself
	 */
	@Nullable String relayedCaller(HttpHeaders headers);

	/**
	 * Sets the number of servers that a request was sent to before. It is set for
	 * requests that are relayed to another entry VM and for rejections of such requests.
	 * @param headers the headers of the request or of the rejection
	 * @param sends the number of servers
	 */
	void setEarlierSends(HttpHeaders headers, int sends);

	/**
	 * Returns the number of servers that a relayed request was sent to before, or that
	 * the entry VM which rejects it has sent it to.
	 * @param headers the headers of the request or of the rejection
	 * @return the number of servers, 0 if it is not stated
	 */
	int earlierSends(HttpHeaders headers);

}
