package org.lovagevale.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.core.response.LateResponseStep;
import org.lovagevale.core.response.ResponseTimer;

/**
 * The responding phase of an exchange: passes the response of one attempt on to the
 * caller.
 *
 * <p>
 * Invariants: at most one response is started; while the caller does not take data, none
 * is read from the server. Confined to the event loop.
 */
final class ResponseDelivery {

	private final Clock clock;

	private final CallerConnection caller;

	private final boolean headRequest;

	private final ResponseTimer timer;

	private boolean started;

	/**
	 * Creates the delivery of a response that is not started.
	 * @param clock the clock
	 * @param caller the connection to the caller
	 * @param headRequest whether the response has no body
	 * @param timer decides when a late response is ended
	 */
	ResponseDelivery(Clock clock, CallerConnection caller, boolean headRequest, ResponseTimer timer) {
		this.clock = clock;
		this.caller = caller;
		this.headRequest = headRequest;
		this.timer = timer;
	}

	boolean isStarted() {
		return this.started;
	}

	void recordContent() {
		this.timer.recordContent(this.clock.millis());
	}

	/**
	 * Passes on the head of a response and the buffered part of its body.
	 * @param attempt the attempt that received the response
	 * @param complete whether the whole body is buffered
	 */
	void start(SendAttempt attempt, boolean complete) {
		HttpResponse response = attempt.response();
		if (response == null) {
			throw new IllegalStateException("no response to pass on");
		}
		this.started = true;
		recordContent();
		HttpHeaders headers = HopByHopHeaders.copyWithout(response.headers(), (name) -> false);
		if (complete && !this.headRequest && !HttpUtil.isContentLengthSet(response)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, attempt.bufferedBytes());
		}
		this.caller.writeHead(new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers));
		passOnBuffered(attempt);
	}

	/**
	 * Passes on what was received, and reads no more of the response if the caller takes
	 * it more slowly.
	 * @param attempt the attempt that receives the response
	 */
	void passOnReceived(SendAttempt attempt) {
		passOnBuffered(attempt);
		this.caller.flush();
		BackendConnection connection = attempt.connection();
		if (connection != null && !this.caller.isWritable()) {
			this.timer.recordBlocked(this.clock.millis());
			connection.setReading(false);
		}
	}

	private void passOnBuffered(SendAttempt attempt) {
		ByteBuf buffered = attempt.takeBuffered();
		if (buffered != null) {
			this.caller.writeContent(buffered);
		}
	}

	void flush() {
		this.caller.flush();
	}

	/**
	 * Completes the started response.
	 * @param attempt the attempt that received the response
	 */
	void finish(SendAttempt attempt) {
		passOnBuffered(attempt);
		this.caller.finish();
	}

	/**
	 * Passes on what was received and closes the connection to the caller.
	 * @param attempt the attempt that received a part of the response
	 * @param reason the reason
	 */
	void abortAfter(SendAttempt attempt, String reason) {
		passOnBuffered(attempt);
		abort(reason);
	}

	/**
	 * Closes the connection to the caller, so that a part of a response does not look
	 * complete.
	 * @param reason the reason
	 */
	void abort(String reason) {
		this.caller.abort(reason);
	}

	/**
	 * Responds with a response that this process generates itself.
	 * @param status the HTTP status
	 * @param reason the cause, sent in the response body
	 * @param headers additional headers
	 */
	void reply(int status, String reason, HttpHeaders headers) {
		this.caller.reply(status, reason, headers);
	}

	/**
	 * Decides what follows for the started response after the timeout.
	 * @return the next step
	 */
	LateResponseStep nextStep() {
		long now = this.clock.millis();
		if (!this.caller.isWritable()) {
			this.timer.recordBlocked(now);
		}
		return this.timer.next(now);
	}

	/**
	 * Tells whether the server is the reason that the response is not complete.
	 * @return {@code true} if it has had all the time of the request
	 */
	boolean isServerOverdue() {
		return this.timer.isServerOverdue(this.clock.millis());
	}

	/**
	 * Continues to read the response if that was paused and the caller has taken enough
	 * of it.
	 * @param connection the connection that the response is read from
	 */
	void callerWritable(@Nullable BackendConnection connection) {
		if (this.timer.isBlocked() && this.caller.isWritable()) {
			resumeReading(connection);
		}
	}

	/**
	 * Continues to read the response.
	 * @param connection the connection that the response is read from
	 */
	void resumeReading(@Nullable BackendConnection connection) {
		this.timer.recordUnblocked(this.clock.millis());
		if (connection != null) {
			connection.setReading(true);
		}
	}

}
