package org.lovagevale.gateway.http;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.LogLine;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.memory.HeldKind;
import org.lovagevale.core.memory.MemoryAccount;
import org.lovagevale.core.memory.MemoryReservation;
import org.lovagevale.gateway.GatewayMetrics;
import org.lovagevale.gateway.ServerProtocol;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection to a backend server, used for one request at a time.
 *
 * <p>
 * Invariants: a response to a request that must be identified is passed on only if it
 * carries the ID of that request; after a failed write, nothing is passed on except a
 * response with a length that was read from a lost connection; responses to earlier
 * requests are skipped, and the connection is then not reused; a response with an ID that
 * was not sent on this connection is a failure. Each byte that arrives while no request
 * is in progress closes the connection, and so do a response that changes the protocol
 * and a head that continues one that was broken off. A server that sends only data that
 * is no part of the expected response is read to a limit. What is held of a response is
 * accounted for, and the request fails if the process is full and this connection holds
 * the most. Confined to the event loop.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {

	/**
	 * How long a connection may be idle if the server states no timeout in a Keep-Alive
	 * header, in milliseconds.
	 */
	static final long DEFAULT_IDLE_LIMIT_MS = 4_000;

	/**
	 * Maximum number of earlier requests whose IDs are known, and of responses to them
	 * before the expected one.
	 */
	private static final int MAX_EARLIER_IDS = 16;

	/**
	 * Maximum length of the ID of a request after which a connection is used again, in
	 * characters. Callers choose the IDs, and each idle connection keeps some of them.
	 */
	private static final int MAX_KEPT_ID_CHARS = 256;

	/** Maximum size of the bodies of such responses, in bytes. */
	private static final long MAX_SKIPPED_BYTES = 1_048_576;

	/** Maximum length of a description of unexpected data, in characters. */
	private static final int MAX_DESCRIPTION_CHARS = 200;

	/** Maximum number of interim responses before the final one. */
	private static final int MAX_INFORMATIONAL_RESPONSES = 20;

	/**
	 * Time after which a connection with unacknowledged data is closed, in milliseconds.
	 * It allows for several retransmissions.
	 */
	private static final int ACKNOWLEDGEMENT_TIMEOUT_MS = 1_500;

	/**
	 * Size of a request body, in bytes, up to which a server acknowledges all of it even
	 * if it does not read.
	 */
	private static final int MAX_UNREAD_BYTES = 16_384;

	/**
	 * Time for which a response is read from a connection whose loss was noticed by a
	 * write, in milliseconds. What the server wrote before has arrived already.
	 */
	private static final long READ_AFTER_LOSS_MS = 100;

	private static final long MILLIS_PER_SECOND = 1_000;

	/**
	 * Fraction of the server's idle timeout for which a connection is reused. The margin
	 * is needed because the timeout may expire while a request is in transit.
	 */
	private static final double IDLE_TIMEOUT_FRACTION = 0.7;

	private static final Logger LOGGER = LoggerFactory.getLogger(BackendConnection.class);

	private final ServerProtocol protocol;

	private final BackendResponseDecoder decoder;

	private final ExpectedDataHandler dataHandler;

	private final MemoryAccount memory;

	/** Memory of the head of a response, or of the part of one that has arrived. */
	private final MemoryReservation headMemory;

	private final BackendInstance server;

	private final ResponseObserver observer;

	private final ReleaseListener releaseListener;

	private final GatewayMetrics metrics;

	/** The IDs of the last requests before the current one. */
	private final ArrayDeque<String> earlierRequestIds = new ArrayDeque<>();

	private final ChannelFutureListener writeListener = (write) -> {
		Throwable cause = write.cause();
		if (cause != null) {
			writeFailed(cause);
		}
	};

	/** The reason why the request could not be written to its end. */
	private @Nullable Throwable writeFailure;

	private @Nullable ChannelHandlerContext context;

	private @Nullable BackendListener listener;

	private String expectedRequestId = "";

	private boolean idRequired;

	private boolean requestComplete;

	private boolean responseStarted;

	/** Whether the end of the response can be told from the end of its connection. */
	private boolean responseSized;

	/**
	 * Whether a response is read from a connection whose loss was noticed by a write.
	 */
	private boolean readingAfterLoss;

	/** Whether the listener takes further parts of the response. */
	private boolean reading = true;

	/** Whether nothing is read until received bytes are decoded. */
	private boolean decodingSuspended;

	/** Size of the buffer of the bytes that are not decoded yet. */
	private int undecodedBufferBytes;

	/** Size of the decoded head of the response. */
	private long decodedHeadBytes;

	private boolean skipping;

	private boolean informational;

	private boolean reusable;

	private int acknowledgementTimeoutMs;

	private int skipped;

	private long skippedBytes;

	private int informationalCount;

	/** Number of requests that this connection was used for. */
	private int requestCount;

	private long idleLimitMs = DEFAULT_IDLE_LIMIT_MS;

	private long idleSinceMs;

	/**
	 * Creates a connection that is not open yet.
	 * @param server the run of the server that the connection is opened to
	 * @param protocol interprets the headers of responses
	 * @param memory the account of the bytes held for responses
	 * @param scheduler runs what does not fit into one turn of the event loop
	 * @param observer receives the head of each response
	 * @param releaseListener receives this connection each time it has become idle
	 * @param metrics counts the parts of requests that could not be written
	 */
	BackendConnection(BackendInstance server, ServerProtocol protocol, MemoryAccount memory, TurnScheduler scheduler,
			ResponseObserver observer, ReleaseListener releaseListener, GatewayMetrics metrics) {
		this.server = server;
		this.protocol = protocol;
		this.memory = memory;
		this.headMemory = memory.reserveEvictable(HeldKind.RESPONSE_HEAD, this::evict);
		this.decoder = new BackendResponseDecoder(() -> this.reading);
		this.dataHandler = new ExpectedDataHandler(this, scheduler);
		this.observer = observer;
		this.releaseListener = releaseListener;
		this.metrics = metrics;
	}

	/**
	 * Returns the handler in front of the decoder.
	 * @return the handler
	 */
	ExpectedDataHandler dataHandler() {
		return this.dataHandler;
	}

	/**
	 * Returns the decoder in front of this handler.
	 * @return the decoder
	 */
	BackendResponseDecoder decoder() {
		return this.decoder;
	}

	private ChannelHandlerContext context() {
		ChannelHandlerContext known = this.context;
		if (known == null) {
			throw new IllegalStateException("connection is not open yet");
		}
		return known;
	}

	Channel channel() {
		return context().channel();
	}

	BackendInstance server() {
		return this.server;
	}

	long idleMs(long now) {
		return now - this.idleSinceMs;
	}

	long idleLimitMs() {
		return this.idleLimitMs;
	}

	void markIdle(long now) {
		this.idleSinceMs = now;
	}

	boolean isUsable() {
		return this.listener == null && channel().isActive();
	}

	/**
	 * Sets for how long data of the next request may stay unacknowledged. The operating
	 * system also counts the time in which the server is alive but takes no data, so a
	 * long body may wait until the request times out.
	 * @param bodyBytes the size of the request body, or what is known of it
	 * @param timeLeftMs the time left for the request, in milliseconds
	 */
	void setAcknowledgementTimeout(long bodyBytes, long timeLeftMs) {
		int timeoutMs = (bodyBytes <= MAX_UNREAD_BYTES) ? ACKNOWLEDGEMENT_TIMEOUT_MS
				: (int) Math.max(ACKNOWLEDGEMENT_TIMEOUT_MS, Math.min(Integer.MAX_VALUE, timeLeftMs));
		if (timeoutMs != this.acknowledgementTimeoutMs && channel() instanceof EpollSocketChannel) {
			this.acknowledgementTimeoutMs = timeoutMs;
			channel().config().setOption(EpollChannelOption.TCP_USER_TIMEOUT, timeoutMs);
		}
	}

	/**
	 * Starts a request by writing its head.
	 * @param newListener receives the events of the request
	 * @param request the head of the request
	 * @param requestId the ID of the request; responses with another ID are skipped
	 * @param responseIdRequired whether a response without an ID is an error
	 */
	void beginRequest(BackendListener newListener, HttpRequest request, String requestId, boolean responseIdRequired) {
		this.listener = newListener;
		if (!this.expectedRequestId.isEmpty()) {
			rememberRequestId(this.expectedRequestId);
		}
		this.expectedRequestId = requestId;
		this.idRequired = responseIdRequired;
		this.requestComplete = false;
		this.responseStarted = false;
		this.skipping = false;
		this.informational = false;
		this.reusable = requestId.length() <= MAX_KEPT_ID_CHARS;
		this.skipped = 0;
		this.skippedBytes = 0;
		this.informationalCount = 0;
		this.requestCount++;
		this.decoder.expectResponseTo(request.method().equals(HttpMethod.HEAD));
		writePart(request);
	}

	private void rememberRequestId(String requestId) {
		this.earlierRequestIds.add(requestId);
		if (this.earlierRequestIds.size() > MAX_EARLIER_IDS) {
			this.earlierRequestIds.remove();
		}
	}

	void write(HttpContent content) {
		if (content instanceof LastHttpContent) {
			this.requestComplete = true;
		}
		writePart(content);
		context().flush();
	}

	private void writePart(HttpObject part) {
		if (this.writeFailure != null) {
			ReferenceCountUtil.release(part);
			return;
		}
		context().write(part).addListener(this.writeListener);
	}

	/**
	 * Ends the connection after a part of a request could not be written. Without that
	 * part, the server would run a request with another body. If the connection was lost,
	 * a response that the server wrote before is read first. The loss is not reported as
	 * an exception then; the channel's own closing fails writes as well.
	 * @param cause the error
	 */
	void writeFailed(Throwable cause) {
		if (!(cause instanceof ClosedChannelException) && this.writeFailure == null) {
			this.writeFailure = cause;
			this.metrics.countFailedWrite("server");
			LOGGER.warn("{}",
					LogLine.event("request.unwritten")
						.with("id", this.expectedRequestId)
						.with("server", this.server.id())
						.with("directBytes", GatewayMetrics.directMemoryBytes())
						.with("why", String.valueOf(cause)));
			this.readingAfterLoss = cause instanceof IOException && (!this.responseStarted || this.responseSized);
			if (!this.readingAfterLoss) {
				context().close();
				return;
			}
			this.reusable = false;
			setReading(true);
			ChannelHandlerContext open = context();
			open.executor().schedule(() -> open.close(), READ_AFTER_LOSS_MS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Sets whether further parts of the response are read and decoded.
	 * @param reading {@code true} to read, {@code false} to apply backpressure
	 */
	void setReading(boolean reading) {
		this.reading = reading;
		channel().config().setAutoRead(reading && !this.decodingSuspended);
		if (reading && this.decodingSuspended) {
			this.dataHandler.turns().continueLater();
		}
	}

	/**
	 * Records what is held after received bytes were decoded.
	 * @param used the decoder of this connection
	 */
	void turnEnded(PartDecoder used) {
		this.undecodedBufferBytes = used.heldBytes();
		this.decodingSuspended = used.parts().isSuspended();
		channel().config().setAutoRead(this.reading && !this.decodingSuspended);
		updateHeadMemory();
		MemoryEviction.evictExcess("responses", this.memory, this.metrics);
	}

	private void updateHeadMemory() {
		this.headMemory.resize(channel().isOpen() ? this.undecodedBufferBytes + this.decodedHeadBytes : 0);
	}

	private void evict() {
		fail("no memory for the response");
	}

	/**
	 * Abandons the current request and closes the connection, so that the server stops
	 * processing it.
	 */
	void abandon() {
		this.listener = null;
		close();
	}

	private void close() {
		this.decodedHeadBytes = 0;
		this.headMemory.resize(0);
		context().close();
	}

	/**
	 * Tells whether a request is in progress on this connection.
	 * @return {@code false} if all data that arrives is unexpected
	 */
	boolean isResponseExpected() {
		return this.listener != null;
	}

	/**
	 * Closes the connection because bytes arrived while no request was in progress. They
	 * may be a part of a response, which the response to the next request would complete.
	 * @param count the number of bytes
	 */
	void closeAfterUnexpectedBytes(int count) {
		closeAfterUnexpected(UnexpectedData.NO_REQUEST, count + " bytes");
	}

	private void closeAfterUnexpected(UnexpectedData kind, String data) {
		if (channel().isActive()) {
			reportUnexpected(kind, data);
		}
		context().close();
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.listener == null) {
			ReferenceCountUtil.release(message);
			closeAfterUnexpected(UnexpectedData.NO_REQUEST, describe(message));
			return;
		}
		if (!(message instanceof HttpObject object)) {
			ReferenceCountUtil.release(message);
			fail("data that is not part of a response");
			return;
		}
		Throwable brokenBy = this.writeFailure;
		if (brokenBy != null && !this.readingAfterLoss) {
			ReferenceCountUtil.release(message);
			fail("connection lost while the request was written: " + brokenBy.getMessage());
			return;
		}
		if (object.decoderResult().isFailure()) {
			reportUnexpected(UnexpectedData.MALFORMED, describe(message));
			ReferenceCountUtil.release(message);
			fail("malformed response: " + abbreviate(object.decoderResult().cause().getMessage()));
			return;
		}
		if (message instanceof HttpResponse response) {
			readHead(response);
		}
		if (message instanceof HttpContent content) {
			readContent(content);
		}
	}

	private void reportUnexpected(UnexpectedData kind, String data) {
		this.metrics.countUnexpectedData(this.server.service().value(), kind.name());
		LOGGER.info("{}",
				LogLine.event("response.unexpected")
					.with("kind", kind)
					.with("server", this.server.id())
					.with("id", this.expectedRequestId)
					.with("requests", this.requestCount)
					.with("data", abbreviate(data)));
	}

	private static String abbreviate(@Nullable String text) {
		String known = String.valueOf(text);
		return (known.length() <= MAX_DESCRIPTION_CHARS) ? known : known.substring(0, MAX_DESCRIPTION_CHARS) + "...";
	}

	private String describe(Object message) {
		if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
			return String.valueOf(object.decoderResult().cause().getMessage());
		}
		return (message instanceof HttpResponse response)
				? "status " + response.status().code() + ", id " + this.protocol.requestId(response.headers())
				: "content";
	}

	private void readHead(HttpResponse response) {
		if (BackendResponseDecoder.hasInnerStatusLine(response)) {
			reportUnexpected(UnexpectedData.MALFORMED, describe(response));
			fail("head with the status line of another one inside");
			return;
		}
		this.observer.received(this.server, response);
		this.informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		if (response.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
			fail("change of protocols that was not requested");
			return;
		}
		if (this.informational) {
			if (++this.informationalCount > MAX_INFORMATIONAL_RESPONSES) {
				fail("only interim responses");
			}
			return;
		}
		String id = this.protocol.requestId(response.headers());
		if (id == null && this.idRequired) {
			fail("response without the identity of its request");
			return;
		}
		this.skipping = id != null && !id.equals(this.expectedRequestId);
		if (this.skipping) {
			this.reusable = false;
			reportUnexpected(UnexpectedData.OTHER_REQUEST, describe(response));
			if (!this.earlierRequestIds.contains(id)) {
				fail("response to a request that was not sent on this connection");
				return;
			}
			if (++this.skipped > MAX_EARLIER_IDS) {
				fail("only responses to other requests");
			}
			return;
		}
		this.responseSized = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
		if (this.readingAfterLoss && !this.responseSized) {
			fail("response without a length on a lost connection");
			return;
		}
		this.responseStarted = true;
		this.decodedHeadBytes = HeldSize.ofHead(response);
		this.reusable = this.reusable && HttpUtil.isKeepAlive(response) && this.responseSized
				&& !this.decoder.hadLargeHead() && !BackendResponseDecoder.announcesSurplusBody(response);
		updateIdleLimit(response);
		currentListener().headReceived(response);
	}

	private BackendListener currentListener() {
		BackendListener known = this.listener;
		if (known == null) {
			throw new IllegalStateException("no request is in progress");
		}
		return known;
	}

	private void updateIdleLimit(HttpResponse response) {
		String keepAlive = response.headers().get("Keep-Alive");
		if (keepAlive == null) {
			return;
		}
		for (String part : keepAlive.split(",")) {
			String trimmed = part.trim();
			if (trimmed.startsWith("timeout=")) {
				try {
					long seconds = Long.parseLong(trimmed.substring("timeout=".length()));
					this.idleLimitMs = (long) (seconds * MILLIS_PER_SECOND * IDLE_TIMEOUT_FRACTION);
				}
				catch (NumberFormatException ex) {
					// The header is only a hint; if it is malformed, the default applies.
					this.idleLimitMs = DEFAULT_IDLE_LIMIT_MS;
				}
			}
		}
	}

	private void readContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		BackendListener active = this.listener;
		if (this.informational || this.skipping || active == null) {
			this.skippedBytes += content.content().readableBytes();
			content.release();
			if (this.skippedBytes > MAX_SKIPPED_BYTES) {
				fail("responses to other requests are too large");
			}
			if (last) {
				this.skipping = false;
				this.informational = false;
			}
			return;
		}
		active.contentReceived(content);
		if (last && this.listener != null) {
			completeResponse();
		}
	}

	private void completeResponse() {
		BackendListener completed = currentListener();
		this.listener = null;
		this.decodedHeadBytes = 0;
		int undecodedBytes = this.decoder.undecodedBytes();
		boolean keep = this.reusable && this.requestComplete && undecodedBytes == 0 && channel().isActive();
		if (undecodedBytes > 0) {
			closeAfterUnexpected(UnexpectedData.AFTER_RESPONSE, undecodedBytes + " bytes after the response");
		}
		else if (!keep) {
			context().close();
		}
		completed.ended();
		if (keep) {
			setReading(true);
			this.releaseListener.released(this);
		}
	}

	private void fail(String reason) {
		BackendListener active = this.listener;
		this.listener = null;
		close();
		if (active != null) {
			active.failed(reason);
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		BackendListener active = this.listener;
		if (active != null && this.responseStarted) {
			active.readComplete();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		BackendListener active = this.listener;
		if (active != null && ctx.channel().isWritable()) {
			active.writable();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		Throwable cause = this.writeFailure;
		fail((cause != null) ? "the request could not be written: " + cause.getMessage()
				: "connection closed by the server");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		// Reports a connection reset before the channel becomes inactive, which would
		// make a response without a length look complete.
		fail((cause instanceof IOException) ? "connection lost: " + cause.getMessage() : String.valueOf(cause));
	}

	/**
	 * Receives the head of each response, including interim ones and those to other
	 * requests.
	 */
	@FunctionalInterface
	interface ResponseObserver {

		/**
		 * Called before the response is handled.
		 * @param server the run of the server that the connection was opened to
		 * @param response the head of the response
		 */
		void received(BackendInstance server, HttpResponse response);

	}

	/**
	 * Receives connections that can be reused.
	 */
	@FunctionalInterface
	interface ReleaseListener {

		/**
		 * Called when a connection has become idle.
		 * @param connection the idle connection
		 */
		void released(BackendConnection connection);

	}

}
