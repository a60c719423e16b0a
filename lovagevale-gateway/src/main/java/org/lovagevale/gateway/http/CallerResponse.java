package org.lovagevale.gateway.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.LogLine;
import org.lovagevale.core.pipelining.WaitingBytes;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The response to one request on a connection of a caller.
 *
 * <p>
 * Invariants: nothing of it is written before its turn, until which all that arrives of
 * it is kept; a response that does not keep the connection open says so in its head; one
 * that fails before its turn is replaced by an error. Confined to the event loop.
 */
final class CallerResponse implements CallerConnection {

	private static final int BAD_GATEWAY = 502;

	private static final Logger LOGGER = LoggerFactory.getLogger(CallerResponse.class);

	private final FrontendConnection connection;

	private final RequestRouter router;

	private final CallerOutput output;

	private final boolean http10;

	private final boolean headRequest;

	/** Whether the connection can be used again after this response. */
	private boolean keepAlive;

	private boolean started;

	/** Whether this response ends with the connection. */
	private boolean closeDelimited;

	/** What has arrived before the turn of this response, {@code null} since then. */
	private @Nullable WaitingResponse waiting;

	/** Whether the request may run beside others on the connection. */
	private boolean concurrent;

	private @Nullable Exchange exchange;

	/**
	 * Creates the response to a request.
	 * @param connection the connection
	 * @param router tells whether the process stops
	 * @param output writes to the connection
	 * @param head the head of the request
	 */
	CallerResponse(FrontendConnection connection, RequestRouter router, CallerOutput output, HttpRequest head) {
		this.connection = connection;
		this.router = router;
		this.output = output;
		this.keepAlive = HttpUtil.isKeepAlive(head) && !router.isStopping();
		this.http10 = head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0;
		this.headRequest = head.method().name().equals("HEAD");
	}

	/**
	 * Creates the response to a request whose head is incomplete, so that its method is
	 * not known.
	 * @param connection the connection
	 * @param router tells whether the process stops
	 * @param output writes to the connection
	 */
	CallerResponse(FrontendConnection connection, RequestRouter router, CallerOutput output) {
		this.connection = connection;
		this.router = router;
		this.output = output;
		this.http10 = false;
		this.headRequest = false;
	}

	/**
	 * Has all that arrives of this response kept until its turn.
	 * @param waitingBytes the size of all waiting responses of the connection
	 */
	void awaitTurn(WaitingBytes waitingBytes) {
		this.waiting = new WaitingResponse(waitingBytes, this.router.reserveResponse(this::evict));
	}

	boolean isWaiting() {
		return this.waiting != null;
	}

	/**
	 * Tells whether nothing more of this response will arrive.
	 * @return {@code true} if it waits for its turn as a whole
	 */
	boolean isWaitingComplete() {
		WaitingResponse earlier = this.waiting;
		return earlier != null && earlier.isFinished();
	}

	/**
	 * Writes what was kept, since all earlier responses are sent.
	 */
	void takeTurn() {
		WaitingResponse earlier = this.waiting;
		if (earlier == null) {
			return;
		}
		this.waiting = null;
		HttpResponse head = earlier.head();
		if (head != null) {
			this.router.countWaitingResponse(earlier.bytes());
			send(head, earlier);
		}
		Exchange current = this.exchange;
		if (current != null) {
			current.callerWritable();
		}
	}

	private void send(HttpResponse head, WaitingResponse earlier) {
		if (head instanceof FullHttpResponse reply) {
			earlier.release();
			sendReply(reply);
			return;
		}
		sendHead(head);
		earlier.takeParts().forEach(this::writeContent);
		if (earlier.isFinished()) {
			finish();
		}
		else {
			flush();
		}
	}

	/**
	 * Starts the exchange of the request.
	 * @param newExchange the exchange
	 * @param newConcurrent whether the request may run beside others on the connection
	 */
	void handle(Exchange newExchange, boolean newConcurrent) {
		this.exchange = newExchange;
		this.concurrent = newConcurrent;
		newExchange.begin();
	}

	/**
	 * Tells whether the request may run beside others on the connection.
	 * @return {@code false} if a later request has to wait until this response is sent
	 */
	boolean isConcurrent() {
		return this.concurrent;
	}

	/**
	 * Cancels the request, since its response cannot be sent.
	 */
	void cancel() {
		WaitingResponse kept = this.waiting;
		Exchange current = this.exchange;
		if (current != null) {
			current.callerDisconnected();
		}
		if (kept != null) {
			kept.release();
		}
	}

	private void evict() {
		Exchange current = this.exchange;
		if (current != null && !current.isDone()) {
			current.requestFailed(BAD_GATEWAY, "no memory for the response");
		}
		else {
			abort("no memory for the response");
		}
	}

	@Nullable Exchange exchange() {
		return this.exchange;
	}

	/**
	 * Tells whether a part of the response was sent.
	 * @return {@code true} if no other response can be sent in its place
	 */
	boolean isStarted() {
		return this.started;
	}

	boolean isKeepAlive() {
		return this.keepAlive;
	}

	boolean isCloseDelimited() {
		return this.closeDelimited;
	}

	/**
	 * Has the connection closed after this response.
	 */
	void closeAfter() {
		this.keepAlive = false;
	}

	/**
	 * Returns how far the request has come.
	 * @return its progress
	 */
	RequestProgress progress() {
		if (this.started) {
			return RequestProgress.RESPONDING;
		}
		Exchange current = this.exchange;
		return (current != null) ? current.progress() : RequestProgress.READ;
	}

	/**
	 * Tells whether a part of the body of the request is not read yet.
	 * @return {@code true} if further parts belong to this request
	 */
	boolean isBodyIncomplete() {
		Exchange current = this.exchange;
		return current != null && !current.isBodyComplete();
	}

	/**
	 * Rejects the request and closes the connection, since the framing of the request
	 * cannot be trusted.
	 * @param status the HTTP status
	 * @param reason the reason, sent in the response body
	 */
	void rejectAndClose(int status, String reason) {
		rejectAndClose(status, reason, new DefaultHttpHeaders());
	}

	/**
	 * Rejects the request and closes the connection.
	 * @param status the HTTP status
	 * @param reason the reason, sent in the response body
	 * @param headers additional headers
	 */
	void rejectAndClose(int status, String reason, HttpHeaders headers) {
		LOGGER.info("{}",
				LogLine.event("request.rejected")
					.with("status", status)
					.with("caller", this.output.remoteHost())
					.with("why", reason));
		this.router.countRejected(status);
		this.keepAlive = false;
		reply(status, reason, headers);
	}

	/**
	 * Responds to a request that is not handled and discards the rest of it.
	 * @param status the HTTP status
	 * @param reason the reason, sent in the response body
	 * @param headers additional headers
	 */
	void replyAndDiscard(int status, String reason, HttpHeaders headers) {
		this.connection.discardRest();
		reply(status, reason, headers);
	}

	@Override
	public void writeHead(HttpResponse response) {
		WaitingResponse kept = this.waiting;
		if (kept != null) {
			kept.setHead(response);
		}
		else {
			sendHead(response);
		}
	}

	private void sendHead(HttpResponse response) {
		this.started = true;
		boolean sized = HttpUtil.isContentLengthSet(response) || isBodyless(response);
		boolean chunked = !sized && !this.http10;
		this.closeDelimited = !sized && this.http10;
		if (this.closeDelimited) {
			this.keepAlive = false;
			this.output.resetOnClose(true);
		}
		if (chunked) {
			response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		setConnectionHeader(response);
		this.output.write(response);
	}

	private boolean isBodyless(HttpResponse response) {
		int status = response.status().code();
		return this.headRequest || status == HttpResponseStatus.NO_CONTENT.code()
				|| status == HttpResponseStatus.NOT_MODIFIED.code();
	}

	private void setConnectionHeader(HttpResponse response) {
		boolean stopsHere = this.router.isStopping() && this.connection.isLastStarted(this);
		this.keepAlive = this.keepAlive && !stopsHere && !isBodyIncomplete();
		if (!this.keepAlive) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		else if (this.http10) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
		}
	}

	@Override
	public void writeContent(ByteBuf content) {
		if (this.headRequest) {
			content.release();
			return;
		}
		WaitingResponse kept = this.waiting;
		if (kept != null) {
			kept.add(content);
		}
		else {
			this.output.write(new DefaultHttpContent(content));
		}
	}

	@Override
	public void flush() {
		if (this.waiting == null) {
			this.connection.flush();
		}
	}

	@Override
	public void finish() {
		WaitingResponse kept = this.waiting;
		if (kept != null) {
			kept.finish();
			return;
		}
		this.output.write(LastHttpContent.EMPTY_LAST_CONTENT);
		this.connection.responseEnded(this);
	}

	@Override
	public void reply(int status, String reason, HttpHeaders headers) {
		FullHttpResponse response = createReply(status, reason, headers);
		WaitingResponse kept = this.waiting;
		if (kept != null) {
			kept.setHead(response);
			kept.finish();
		}
		else {
			sendReply(response);
		}
	}

	private FullHttpResponse createReply(int status, String reason, HttpHeaders headers) {
		byte[] text = ("{\"reason\":\"" + escape(reason) + "\"}").getBytes(StandardCharsets.UTF_8);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(this.headRequest ? new byte[0] : text));
		response.headers().add(headers);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
		return response;
	}

	private void sendReply(FullHttpResponse response) {
		this.started = true;
		setConnectionHeader(response);
		this.output.write(response);
		this.connection.responseEnded(this);
	}

	private static String escape(String text) {
		StringBuilder escaped = new StringBuilder();
		text.chars().forEach((c) -> {
			boolean special = c == '"' || c == '\\' || c < ' ';
			escaped.append(special ? '\'' : (char) c);
		});
		return escaped.toString();
	}

	@Override
	public void abort(String reason) {
		WaitingResponse kept = this.waiting;
		if (kept != null) {
			replaceWaiting(kept, reason);
		}
		else {
			this.connection.responseAborted(this, reason);
		}
	}

	// Nothing of the response was sent, so the requests behind it can go on.
	private void replaceWaiting(WaitingResponse kept, String reason) {
		Exchange current = this.exchange;
		LOGGER.info("{}",
				LogLine.event("response.replaced")
					.with("id", (current != null) ? current.requestId() : "")
					.with("status", BAD_GATEWAY)
					.with("droppedBytes", kept.bytes())
					.with("why", reason));
		this.router.countReplacedResponse();
		kept.release();
		reply(BAD_GATEWAY, reason, new DefaultHttpHeaders());
	}

	@Override
	public boolean isWritable() {
		return isWaiting() ? this.connection.mayKeepMore() : this.output.isWritable();
	}

	@Override
	public void setReading(boolean reading) {
		this.connection.setReading(this, reading);
	}

}
