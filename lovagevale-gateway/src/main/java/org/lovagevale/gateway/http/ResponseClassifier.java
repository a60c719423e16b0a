package org.lovagevale.gateway.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import org.lovagevale.core.placing.SlotOutcome;
import org.lovagevale.gateway.ServerProtocol;

/**
 * Classifies the response to an attempt by its head.
 *
 * <p>
 * Immutable; confined to the event loop like the attempts.
 */
final class ResponseClassifier {

	private final ServerProtocol protocol;

	ResponseClassifier(ServerProtocol protocol) {
		this.protocol = protocol;
	}

	/**
	 * Classifies the response of an attempt.
	 * @param attempt the attempt that received the response
	 * @return the outcome
	 */
	SlotOutcome classify(SendAttempt attempt) {
		HttpResponse response = attempt.response();
		if (response == null) {
			return SlotOutcome.LOST;
		}
		int status = response.status().code();
		HttpHeaders headers = response.headers();
		if (attempt.isRelay() && !this.protocol.isSigned(headers)) {
			return RelayAttempts.outcomeOf(status);
		}
		if (this.protocol.isReplaced(status, headers)) {
			return SlotOutcome.REPLACED;
		}
		if (this.protocol.isNotExecuted(status, headers)) {
			return SlotOutcome.NOT_EXECUTED;
		}
		boolean error = response.status().codeClass() == HttpStatusClass.SERVER_ERROR
				|| this.protocol.isNotRunStatus(status);
		return (isGenuine(response) && !error) ? SlotOutcome.SERVED : SlotOutcome.FAILED;
	}

	/**
	 * Tells whether a response of a server that ran the request may be passed on. Its
	 * caller would send the request again after a status which says that it was not run.
	 * @param response the head of the response
	 * @return {@code true} if it is as the server sent it and has no such status
	 */
	boolean mayPassOn(HttpResponse response) {
		return isGenuine(response) && !this.protocol.isNotRunStatus(response.status().code());
	}

	/**
	 * Tells whether a response is as a server sent it. No content encoding is requested,
	 * so an encoded response was changed after it left the server.
	 * @param response the head of the response
	 * @return {@code true} if it is signed and not encoded
	 */
	private boolean isGenuine(HttpResponse response) {
		return this.protocol.isSigned(response.headers())
				&& !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
	}

}
