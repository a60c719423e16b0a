package org.lovagevale.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;
import org.lovagevale.core.memory.HeldKind;
import org.lovagevale.core.memory.MemoryReservation;

/**
 * The sending phase of an exchange: buffers the body of the request and writes the
 * request to the server of the current attempt.
 *
 * <p>
 * Invariant: the memory of the request is accounted for until neither the exchange nor a
 * connection holds a part of it. Confined to the event loop.
 */
final class RequestSending {

	private final ExchangeServices services;

	private final CallerConnection caller;

	private final CallerRequest request;

	private final RequestContent content;

	private final MemoryReservation headMemory;

	private final MemoryReservation bodyMemory;

	/** The connection of the current attempt, once the request is written to it. */
	private @Nullable BackendConnection connection;

	/** Whether received parts of the body are sent later in this turn of the loop. */
	private boolean sendScheduled;

	/** Whether the end of the body was sent in the current attempt. */
	private boolean bodySent;

	/** Whether the exchange is done and nothing more is sent. */
	private boolean closed;

	RequestSending(ExchangeServices services, CallerConnection caller, CallerRequest request, RequestContent content) {
		this.services = services;
		this.caller = caller;
		this.request = request;
		this.content = content;
		this.headMemory = services.memory().reserve(HeldKind.REQUEST_HEAD, request.size().headBytes());
		this.bodyMemory = services.memory().reserve(HeldKind.REQUEST_BODY, request.size().bodyBytes());
	}

	/**
	 * Adds a part of the body.
	 * @param part the part; this object releases it
	 */
	void add(HttpContent part) {
		this.content.add(part);
		updateBodyMemory();
	}

	// What a server has not taken yet is a part of the body, unless that was dropped.
	private void updateBodyMemory() {
		boolean expected = !this.closed && !this.content.isComplete() && this.content.isReplayable();
		long expectedBytes = expected ? this.request.size().bodyBytes() : 0;
		BackendConnection current = this.connection;
		long pendingBytes = (current != null) ? PendingWrites.bytesOf(current.channel()) : 0;
		this.bodyMemory.resize(Math.max(expectedBytes, Math.max(this.content.heldBytes(), pendingBytes)));
	}

	/**
	 * Tells whether the next bytes of the body were accounted for when the request was
	 * accepted.
	 * @return {@code true} if they may be read although the process is full
	 */
	boolean isNextContentReserved() {
		return !this.content.isComplete()
				&& (!this.content.isReplayable() || this.content.size() < this.request.size().bodyBytes());
	}

	/**
	 * Tells whether enough of the body was received to place the request.
	 * @return {@code true} if it is complete or large
	 */
	boolean isBodyReady() {
		return this.content.isComplete() || this.content.size() > RequestContent.BUFFERED_BEFORE_SLOT_BYTES;
	}

	/**
	 * Writes the head and the received part of the body.
	 * @param attempt the attempt, which becomes the current one
	 * @param open its connection
	 * @param leftMs the time left for a response, in milliseconds
	 * @param totalSends the number of servers that the request was sent to by any entry
	 * VM
	 */
	void begin(SendAttempt attempt, BackendConnection open, long leftMs, int totalSends) {
		this.connection = open;
		open.setAcknowledgementTimeout(this.content.isComplete() ? this.content.size() : Long.MAX_VALUE, leftMs);
		// A rejection by another entry VM does not carry the request ID.
		open.beginRequest(attempt, requestHead(attempt, leftMs, totalSends), this.request.id(), !attempt.isRelay());
		this.content.rewind();
		this.bodySent = false;
		sendUnsent(open);
	}

	private HttpRequest requestHead(SendAttempt attempt, long leftMs, int totalSends) {
		HttpRequest received = this.request.head();
		HttpHeaders headers = HopByHopHeaders.copyWithout(received.headers(), (name) -> name.equals("expect"));
		if (this.content.isComplete()) {
			boolean framed = HttpUtil.isContentLengthSet(received) || HttpUtil.isTransferEncodingChunked(received);
			if (framed) {
				headers.set(HttpHeaderNames.CONTENT_LENGTH, this.content.size());
			}
		}
		else if (!HttpUtil.isContentLengthSet(received)) {
			headers.set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
		}
		if (attempt.isRelay()) {
			this.services.protocol()
				.setRelayHeaders(headers, leftMs, this.request.caller(),
						this.services.relay().receiver(attempt.server()));
			this.services.protocol().setEarlierSends(headers, totalSends);
		}
		else {
			this.services.protocol().setServerHeaders(headers, leftMs, attempt.server().id(), this.request.account());
		}
		return new DefaultHttpRequest(HttpVersion.HTTP_1_1, received.method(), received.uri(), headers);
	}

	/**
	 * Sends the parts of the body together that arrive in one turn of the event loop.
	 */
	void scheduleSend() {
		if (!this.sendScheduled) {
			this.sendScheduled = true;
			this.services.loop().execute(this::sendReceived);
		}
	}

	/**
	 * Sends the parts of the body that are scheduled to be sent.
	 */
	void sendReceived() {
		boolean scheduled = this.sendScheduled;
		this.sendScheduled = false;
		BackendConnection current = this.connection;
		if (scheduled && !this.closed && current != null) {
			sendUnsent(current);
		}
	}

	private void sendUnsent(BackendConnection current) {
		for (ByteBuf part : this.content.takeUnsent()) {
			current.write(new DefaultHttpContent(part));
		}
		if (this.content.isComplete() && !this.bodySent) {
			this.bodySent = true;
			current.write(LastHttpContent.EMPTY_LAST_CONTENT);
		}
		this.content.dropIfTooLarge();
		updateBodyMemory();
		this.caller.setReading(this.content.isComplete() || current.channel().isWritable());
	}

	void serverWritable() {
		updateBodyMemory();
		if (!this.closed) {
			this.caller.setReading(true);
		}
	}

	/**
	 * Stops reading a body that is too large to be buffered.
	 */
	void pauseIfTooLarge() {
		if (this.content.size() > RequestContent.MAX_REPLAYABLE_BYTES) {
			this.caller.setReading(false);
		}
	}

	/**
	 * Handles the end of an attempt.
	 * @param remaining the connection of the attempt that remains in progress, if any
	 */
	void attemptEnded(@Nullable BackendConnection remaining) {
		this.connection = remaining;
	}

	/**
	 * Releases the request. A body that the server of an unfinished attempt may not have
	 * taken yet remains accounted for until {@link #releaseMemory()}.
	 * @param unfinished whether an attempt has not ended
	 */
	void close(boolean unfinished) {
		this.closed = true;
		this.content.release();
		// The headers are not sent again. Timers and attempts may hold the request on.
		this.request.head().headers().clear();
		if (unfinished) {
			this.headMemory.resize(HeldSize.ofHead(this.request.head()) + this.request.id().length());
			updateBodyMemory();
		}
		else {
			releaseMemory();
		}
	}

	void releaseMemory() {
		this.headMemory.release();
		this.bodyMemory.release();
	}

}
