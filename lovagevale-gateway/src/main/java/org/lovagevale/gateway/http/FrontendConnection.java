package org.lovagevale.gateway.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.LogLine;
import org.lovagevale.core.memory.MemoryReservation;
import org.lovagevale.gateway.GatewayMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection from a caller.
 *
 * <p>
 * Invariants: requests are handled one after the other, so that responses are sent in the
 * order of the requests; a response that closes the connection is the last one; during a
 * planned stop every response closes it; a request is handled only once most of the
 * earlier responses are taken; after a part of a response that could not be written,
 * nothing more is written and the connection is closed; what has arrived of requests that
 * are not accepted yet is given up if the process is full and this connection holds the
 * most of it. Confined to the event loop.
 */
final class FrontendConnection extends ChannelInboundHandlerAdapter implements CallerConnection {

	/** Maximum number of queued HTTP objects of later requests before reading stops. */
	private static final int MAX_QUEUED_OBJECTS = 64;

	/**
	 * Size of the rest of a request, in bytes, up to which it is discarded so that its
	 * connection can be used again.
	 */
	private static final long MAX_DISCARDED_BYTES = 262_144;

	/**
	 * Maximum time between the last response and the close, in milliseconds. A caller
	 * that reads 540 KB at 1 Mbit/s needs 4.4 s.
	 */
	private static final long LINGER_MS = 5_000;

	/**
	 * Time before the end of a planned stop at which a connection is closed after its
	 * last response, in milliseconds.
	 */
	private static final long LINGER_STOP_MARGIN_MS = 300;

	/**
	 * Time without activity before which a connection is not closed as idle, in
	 * milliseconds. The request of a caller that has just connected arrives within it.
	 */
	private static final long MIN_IDLE_BEFORE_CLOSE_MS = 300;

	/**
	 * Time between the decision to close an idle connection and the close, in
	 * milliseconds.
	 */
	private static final long READ_BEFORE_CLOSE_MS = 1;

	private static final int BAD_REQUEST = 400;

	private static final int HEADERS_TOO_LARGE = 431;

	private static final int REQUEST_TIMEOUT = 408;

	private static final int INTERNAL_ERROR = 500;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final Logger LOGGER = LoggerFactory.getLogger(FrontendConnection.class);

	private final RequestRouter router;

	private final ArrayDeque<HttpObject> queued = new ArrayDeque<>();

	/** Monotonic times in milliseconds at which the queued request heads arrived. */
	private final ArrayDeque<Long> queuedArrivals = new ArrayDeque<>();

	/** Memory of what has arrived of requests that are not accepted yet. */
	private final MemoryReservation pendingMemory;

	/** Memory of the received bytes of a request that is accepted already. */
	private final MemoryReservation acceptedMemory;

	/** Bytes of a request head that has arrived in part. */
	private int partialHeadBytes;

	/** Size of the buffer of the bytes that are not decoded yet. */
	private int undecodedBufferBytes;

	/** Size of the queued objects. */
	private long queuedBytes;

	/** Whether the exchange takes further parts of the request. */
	private boolean reading = true;

	/** Whether nothing is read until received bytes are decoded. */
	private boolean decodingSuspended;

	/**
	 * Whether further requests are not read, since the connection is closed after the
	 * current one.
	 */
	private boolean inputDiscarded;

	/** Explains the close of this connection. */
	private final CallerCloseRecorder closeRecorder = new CallerCloseRecorder();

	private final ChannelFutureListener writeListener = (write) -> writeEnded(write.cause());

	/** What is written and not taken yet. */
	private final CallerBacklog backlog;

	private @Nullable ChannelHandlerContext context;

	private @Nullable Exchange exchange;

	private boolean responseStarted;

	private boolean discarding;

	/** Size of the discarded parts of the current request. */
	private long discardedBytes;

	private boolean keepAlive = true;

	private boolean http10;

	private boolean isHeadRequest;

	private boolean chunked;

	/** Whether the response in progress ends with the connection. */
	private boolean closeDelimited;

	private boolean closing;

	/**
	 * Whether a part of a response could not be written; nothing more is written then.
	 */
	private boolean writeFailed;

	private boolean processing;

	/** Whether another turn of {@link #process()} is scheduled. */
	private boolean processingLater;

	/** Whether the next request waits until the caller takes earlier responses. */
	private boolean awaitingCaller;

	private boolean dataReceived;

	/** Whether the head of a request was read whose response has not ended. */
	private boolean requestOpen;

	/** Number of parts of responses that wait to be passed to the operating system. */
	private int pendingWrites;

	/**
	 * Whether a part of the body of the last request was not read before its response.
	 */
	private boolean bodyUnread;

	/** Closes the connection after the last response. */
	private @Nullable LingeringCloseHandler lingeringHandler;

	/** Monotonic time in milliseconds at which the last response was written, or -1. */
	private long lingeringSince = -1;

	/** Whether no data is read because the process is full. */
	private boolean pausedForMemory;

	/**
	 * Monotonic time in milliseconds at which the first bytes of a request head arrived
	 * while no request was in progress, or -1 if there is no such head.
	 */
	private long headStartedAt = -1;

	/** Monotonic time in milliseconds at which the current request arrived. */
	private long arrivedAt;

	private long lastActivityAt;

	FrontendConnection(RequestRouter router) {
		this.router = router;
		this.pendingMemory = router.reserveEvictable(this::evict);
		this.acceptedMemory = router.reserve();
		this.backlog = router.createBacklog(this::evictBacklog);
		this.lastActivityAt = router.now();
	}

	private long now() {
		return this.router.now();
	}

	private ChannelHandlerContext context() {
		ChannelHandlerContext known = this.context;
		if (known == null) {
			throw new IllegalStateException("connection is not open yet");
		}
		return known;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	/**
	 * Records the arrival of bytes that are not decoded yet. Stops reading if the process
	 * is full, unless they belong to a request that was accepted with its body.
	 */
	void bytesArrived() {
		this.dataReceived = true;
		if (this.closing) {
			return;
		}
		this.lastActivityAt = now();
		if (this.exchange == null && !this.discarding && this.headStartedAt < 0) {
			this.headStartedAt = this.lastActivityAt;
		}
		this.router.evictExcess();
		Exchange current = this.exchange;
		if (this.router.isMemoryFull() && !this.discarding && (current == null || !current.isNextContentReserved())) {
			pauseForMemory();
		}
	}

	/**
	 * Tells whether decoded parts of requests can be handled now. Bytes that arrive while
	 * the process is overfull are not decoded, since a decoded head takes many times the
	 * size of its bytes.
	 * @return {@code false} if received bytes are to be kept as they are
	 */
	boolean isDecodable() {
		return this.closing || this.reading && this.queued.size() < MAX_QUEUED_OBJECTS
				&& (this.discarding || !this.pausedForMemory || !this.router.isMemoryOverfull());
	}

	/**
	 * Records what is held after received bytes were decoded.
	 * @param decoder the decoder of this connection
	 */
	void turnEnded(PartDecoder decoder) {
		this.undecodedBufferBytes = this.closing ? 0 : decoder.heldBytes();
		this.partialHeadBytes = this.closing ? 0 : decoder.partialHeadBytes();
		this.decodingSuspended = decoder.parts().isSuspended();
		applyReading();
		updatePendingMemory();
		this.router.evictExcess();
	}

	private void updatePendingMemory() {
		Exchange current = this.exchange;
		boolean accepted = current != null && !current.isBodyComplete();
		this.pendingMemory.resize(accepted ? 0 : this.undecodedBufferBytes + this.queuedBytes);
		// The next bytes of a body that was accepted are accounted for with it.
		boolean reserved = current != null && current.isNextContentReserved();
		this.acceptedMemory.resize((accepted && !reserved) ? this.undecodedBufferBytes + this.queuedBytes : 0);
	}

	// A request whose head is incomplete has not run. Requests behind one in progress are
	// sent again by the caller if their connection is closed after its response.
	private void evict() {
		Exchange current = this.exchange;
		boolean accepted = current != null && !current.isBodyComplete();
		if (this.closing || accepted) {
			return;
		}
		if (this.discarding) {
			closeAfterLastResponse(true);
		}
		else if (current == null) {
			rejectAndClose(SERVICE_UNAVAILABLE, "no memory for the request", this.router.memoryRetryHeaders());
		}
		else {
			this.keepAlive = false;
			this.inputDiscarded = true;
			releaseQueued();
			discardUndecoded();
			applyReading();
		}
	}

	private void discardUndecoded() {
		this.undecodedBufferBytes = 0;
		this.decodingSuspended = false;
		ArrivalHandler arrivals = context().pipeline().get(ArrivalHandler.class);
		if (arrivals != null) {
			arrivals.turns().discardInput();
		}
		updatePendingMemory();
	}

	private void continueDecoding() {
		ArrivalHandler arrivals = this.decodingSuspended ? context().pipeline().get(ArrivalHandler.class) : null;
		if (arrivals != null) {
			arrivals.turns().continueLater();
		}
	}

	/**
	 * Reads nothing until the process is no longer full, if it is.
	 */
	void pauseIfMemoryFull() {
		if (this.router.isMemoryFull()) {
			pauseForMemory();
		}
	}

	private void pauseForMemory() {
		this.pausedForMemory = true;
		this.router.pauseReading(this);
		applyReading();
	}

	/**
	 * Tells whether a request is in progress or has arrived in part.
	 * @return {@code true} if the caller waits for a response
	 */
	boolean hasRequest() {
		return this.exchange != null || this.headStartedAt >= 0;
	}

	/**
	 * Tells whether no data has arrived since the connection was accepted.
	 * @return {@code true} if nothing was read from the caller
	 */
	boolean isSilent() {
		return !this.dataReceived;
	}

	/**
	 * Returns the time without activity.
	 * @param now the monotonic time in milliseconds
	 * @return the time in milliseconds
	 */
	long idleMs(long now) {
		return now - this.lastActivityAt;
	}

	/**
	 * Continues to read after a pause because the process was full.
	 */
	void resumeReading() {
		this.pausedForMemory = false;
		applyReading();
		continueDecoding();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		HttpObject object = (HttpObject) message;
		if (object.decoderResult().cause() instanceof PrematureChannelClosureException) {
			recordCloseByOthers("head not complete");
		}
		if (this.closing) {
			releaseUnhandled(object);
			return;
		}
		this.queuedBytes += HeldSize.of(object);
		this.queued.add(object);
		if (object instanceof HttpRequest) {
			this.queuedArrivals.add(this.router.arrivalTime(ctx.channel()));
		}
		process();
	}

	private void process() {
		if (this.processing) {
			return;
		}
		this.processing = true;
		try {
			boolean begun = false;
			boolean proceeding = true;
			while (proceeding && !this.queued.isEmpty()) {
				boolean begins = this.queued.peek() instanceof HttpRequest;
				if (begins && begun && this.exchange == null) {
					// Further requests are handled in other turns, since each may be
					// answered at once.
					processLater();
					proceeding = false;
				}
				else {
					proceeding = processNext();
					begun |= begins && proceeding;
				}
			}
		}
		catch (RuntimeException ex) {
			closeAfterFailure(ex);
		}
		finally {
			this.processing = false;
		}
		// A request may be accepted, or its parts handled, without further bytes.
		updatePendingMemory();
		if (isDecodable()) {
			continueDecoding();
		}
	}

	private void processLater() {
		if (!this.processingLater) {
			this.processingLater = true;
			this.router.scheduler().add(() -> {
				this.processingLater = false;
				process();
			});
		}
	}

	private void closeAfterFailure(RuntimeException cause) {
		LOGGER.error("{}",
				LogLine.event("request.broken").with("caller", remoteHost()).with("why", String.valueOf(cause)), cause);
		boolean answerable = this.requestOpen && !this.responseStarted && !this.writeFailed;
		this.requestOpen = this.requestOpen && !answerable;
		recordClose(CallerCloseReason.ERROR, String.valueOf(cause));
		if (answerable && isAnsweredAfterFailure()) {
			return;
		}
		this.closing = true;
		this.discarding = false;
		releaseQueued();
		context().flush();
		// The request in progress ends when the channel becomes inactive.
		context().close();
	}

	private boolean isAnsweredAfterFailure() {
		try {
			this.keepAlive = false;
			Exchange current = this.exchange;
			if (current != null) {
				current.requestFailed(INTERNAL_ERROR, "internal error");
			}
			else {
				reply(INTERNAL_ERROR, "internal error", new DefaultHttpHeaders());
			}
			return this.closing;
		}
		catch (RuntimeException ex) {
			LOGGER.error("{}", LogLine.event("request.broken").with("caller", remoteHost()).with("why", "" + ex), ex);
			return false;
		}
	}

	private boolean processNext() {
		Exchange current = this.exchange;
		if (current != null) {
			if (current.isBodyComplete()) {
				return false;
			}
			receiveBody(current, dequeue());
			return true;
		}
		if (isBlockedByUnreadResponses()) {
			this.awaitingCaller = true;
			return false;
		}
		HttpObject next = dequeue();
		if (this.discarding) {
			discard(next);
		}
		else if (this.closing) {
			releaseUnhandled(next);
		}
		else if (next instanceof HttpRequest head) {
			beginRequest(head);
		}
		else {
			ReferenceCountUtil.release(next);
		}
		return true;
	}

	// A caller that sends requests and does not read the responses would otherwise have
	// them all queued.
	private boolean isBlockedByUnreadResponses() {
		return this.exchange == null && !this.queued.isEmpty() && !this.discarding && !this.closing && !isWritable();
	}

	private HttpObject dequeue() {
		HttpObject next = this.queued.remove();
		this.queuedBytes -= HeldSize.of(next);
		if (next instanceof HttpRequest) {
			this.arrivedAt = this.queuedArrivals.remove();
		}
		return next;
	}

	private void receiveBody(Exchange current, HttpObject next) {
		if (next.decoderResult().isFailure() || !(next instanceof HttpContent content)) {
			ReferenceCountUtil.release(next);
			rejectAndClose(current, BAD_REQUEST, "malformed body");
			return;
		}
		current.bodyReceived(content);
	}

	private void discard(HttpObject next) {
		boolean last = next instanceof LastHttpContent || next.decoderResult().isFailure();
		this.discardedBytes += HeldSize.of(next);
		ReferenceCountUtil.release(next);
		if (last) {
			this.discarding = false;
		}
		else if (this.discardedBytes > MAX_DISCARDED_BYTES) {
			closeAfterLastResponse(true);
		}
	}

	private void beginRequest(HttpRequest head) {
		this.headStartedAt = -1;
		this.requestOpen = true;
		this.keepAlive = HttpUtil.isKeepAlive(head) && !this.router.isStopping();
		this.http10 = head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0;
		this.isHeadRequest = head.method().name().equals("HEAD");
		this.responseStarted = false;
		if (head.decoderResult().isFailure()) {
			Throwable cause = head.decoderResult().cause();
			rejectAndClose((cause instanceof TooLongFrameException) ? HEADERS_TOO_LARGE : BAD_REQUEST,
					String.valueOf(cause.getMessage()));
			return;
		}
		if (HttpUtil.is100ContinueExpected(head)) {
			write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
			context().flush();
		}
		this.router.accept(head, this, remoteHost(), this.arrivedAt);
	}

	private String remoteAddress() {
		return (context().channel().remoteAddress() instanceof InetSocketAddress address)
				? address.getHostString() + ":" + address.getPort() : "";
	}

	private String remoteHost() {
		return (context().channel().remoteAddress() instanceof InetSocketAddress address) ? address.getHostString()
				: "";
	}

	/**
	 * Starts the exchange of the current request.
	 * @param newExchange the exchange
	 */
	void handle(Exchange newExchange) {
		this.exchange = newExchange;
		newExchange.begin();
	}

	/**
	 * Rejects a request and closes the connection, since the framing of the request
	 * cannot be trusted.
	 * @param status the HTTP status
	 * @param reason the reason, sent in the response body
	 */
	void rejectAndClose(int status, String reason) {
		rejectAndClose(status, reason, new DefaultHttpHeaders());
	}

	private void rejectAndClose(int status, String reason, HttpHeaders headers) {
		LOGGER.info("{}",
				LogLine.event("request.rejected")
					.with("status", status)
					.with("caller", remoteHost())
					.with("why", reason));
		this.router.countRejected(status);
		this.keepAlive = false;
		// The method of a request whose head is incomplete is not known.
		this.isHeadRequest = this.isHeadRequest && this.requestOpen;
		reply(status, reason, headers);
	}

	private void rejectAndClose(Exchange current, int status, String reason) {
		this.keepAlive = false;
		current.requestFailed(status, reason);
	}

	/**
	 * Responds to a request that is not handled and discards the rest of it.
	 * @param status the HTTP status
	 * @param reason the reason, sent in the response body
	 * @param headers additional headers
	 */
	void replyAndDiscard(int status, String reason, HttpHeaders headers) {
		this.discarding = true;
		this.discardedBytes = 0;
		reply(status, reason, headers);
	}

	@Override
	public void writeHead(HttpResponse response) {
		this.responseStarted = true;
		boolean sized = HttpUtil.isContentLengthSet(response) || isBodyless(response);
		this.chunked = !sized && !this.http10;
		this.closeDelimited = !sized && this.http10;
		if (this.closeDelimited) {
			this.keepAlive = false;
			resetOnClose(true);
		}
		if (this.chunked) {
			response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		setConnectionHeader(response);
		write(response);
	}

	private boolean isBodyless(HttpResponse response) {
		int status = response.status().code();
		return this.isHeadRequest || status == HttpResponseStatus.NO_CONTENT.code()
				|| status == HttpResponseStatus.NOT_MODIFIED.code();
	}

	private void setConnectionHeader(HttpResponse response) {
		Exchange current = this.exchange;
		boolean bodyIncomplete = current != null && !current.isBodyComplete();
		this.keepAlive = this.keepAlive && !this.router.isStopping() && !bodyIncomplete;
		if (!this.keepAlive) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		else if (this.http10) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
		}
	}

	@Override
	public void writeContent(ByteBuf content) {
		if (this.isHeadRequest) {
			content.release();
			return;
		}
		write(new DefaultHttpContent(content));
	}

	@Override
	public void flush() {
		context().flush();
		updateBacklog();
	}

	private void writeEnded(@Nullable Throwable cause) {
		this.pendingWrites--;
		if (this.exchange == null) {
			this.lastActivityAt = now();
		}
		if (cause == null) {
			this.backlog.recordTaken(now());
		}
		updateBacklog();
		if (cause != null) {
			this.closeRecorder.recordUnwrittenPart();
			writeFailed(cause);
		}
	}

	private void updateBacklog() {
		this.backlog.update(context().channel(), now());
		Exchange current = this.exchange;
		if (current != null) {
			current.callerWritable();
		}
		else if (this.awaitingCaller && isWritable()) {
			this.awaitingCaller = false;
			// A write that has just ended may be a part of handling a response.
			processLater();
		}
	}

	private void evictBacklog() {
		recordClose(CallerCloseReason.NOT_READ, "no memory for the response");
		closeBrokenOff();
	}

	private void write(Object message) {
		if (this.writeFailed) {
			ReferenceCountUtil.release(message);
			return;
		}
		this.pendingWrites++;
		context().write(message).addListener(this.writeListener);
	}

	/**
	 * Closes the connection after a part of a response could not be written. Without that
	 * part, the following ones would be taken for it, and the next response for the rest
	 * of this one.
	 * @param cause the error
	 */
	void writeFailed(Throwable cause) {
		if (cause instanceof ClosedChannelException || this.writeFailed) {
			return;
		}
		this.writeFailed = true;
		this.router.countFailedWrite();
		LOGGER.warn("{}",
				LogLine.event("response.unwritten")
					.with("caller", remoteHost())
					.with("directBytes", GatewayMetrics.directMemoryBytes())
					.with("why", String.valueOf(cause)));
		recordClose(CallerCloseReason.WRITE_FAILED, String.valueOf(cause));
		closeBrokenOff();
	}

	@Override
	public void finish() {
		write(LastHttpContent.EMPTY_LAST_CONTENT);
		responseEnded();
	}

	@Override
	public void reply(int status, String reason, HttpHeaders headers) {
		byte[] text = ("{\"reason\":\"" + escape(reason) + "\"}").getBytes(StandardCharsets.UTF_8);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(this.isHeadRequest ? new byte[0] : text));
		response.headers().add(headers);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
		this.responseStarted = true;
		setConnectionHeader(response);
		write(response);
		responseEnded();
	}

	private static String escape(String text) {
		StringBuilder escaped = new StringBuilder();
		text.chars().forEach((c) -> {
			boolean special = c == '"' || c == '\\' || c < ' ';
			escaped.append(special ? '\'' : (char) c);
		});
		return escaped.toString();
	}

	private void responseEnded() {
		Exchange current = this.exchange;
		this.exchange = null;
		this.requestOpen = false;
		this.responseStarted = false;
		this.lastActivityAt = now();
		if (this.writeFailed) {
			return;
		}
		boolean bodyIncomplete = current != null && !current.isBodyComplete();
		if (this.keepAlive && !bodyIncomplete) {
			flush();
			setReading(true);
			process();
			return;
		}
		closeAfterLastResponse(bodyIncomplete || this.discarding);
	}

	private void closeAfterLastResponse(boolean bodyIncomplete) {
		this.closing = true;
		this.discarding = false;
		this.bodyUnread = bodyIncomplete;
		this.pausedForMemory = false;
		this.headStartedAt = -1;
		this.inputDiscarded = false;
		releaseQueued();
		if (this.undecodedBufferBytes > 0) {
			discardUndecoded();
		}
		LingeringCloseHandler handler = new LingeringCloseHandler(LINGER_MS);
		this.lingeringHandler = handler;
		context().pipeline().addFirst(handler);
		setReading(true);
		context().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((ChannelFutureListener) (write) -> {
			if (write.isSuccess()) {
				lastResponseWritten();
			}
			write.channel().close();
		});
		updateBacklog();
	}

	private void lastResponseWritten() {
		recordClose(this.bodyUnread ? CallerCloseReason.EARLY_RESPONSE : CallerCloseReason.LAST_RESPONSE, "");
		this.lingeringSince = now();
		if (this.closeDelimited) {
			resetOnClose(false);
		}
	}

	private void closeAtEndOfStop() {
		LingeringCloseHandler handler = this.lingeringHandler;
		if (handler != null && this.router.isStopping() && this.router.stopTimeLeftMs() <= LINGER_STOP_MARGIN_MS) {
			handler.closeNow();
		}
	}

	@Override
	public void abort(String reason) {
		recordClose(CallerCloseReason.RESPONSE_ABORTED, reason);
		this.exchange = null;
		this.requestOpen = false;
		context().flush();
		closeBrokenOff();
	}

	private void closeBrokenOff() {
		this.closing = true;
		this.discarding = false;
		releaseQueued();
		context().close();
	}

	// A response without a length ends with its connection. Until all of it is written,
	// every other close, also that of a process that is killed, resets the connection.
	private void resetOnClose(boolean reset) {
		if (context().channel().isOpen()) {
			context().channel().config().setOption(ChannelOption.SO_LINGER, reset ? 0 : -1);
		}
	}

	@Override
	public boolean isWritable() {
		return context().channel().isWritable() && (this.backlog.isEmpty() || !this.router.isResponseMemoryFull());
	}

	@Override
	public void setReading(boolean reading) {
		this.reading = reading;
		applyReading();
		if (reading) {
			continueDecoding();
		}
	}

	private void applyReading() {
		boolean allowed = this.reading && !this.decodingSuspended && !this.pausedForMemory && !this.inputDiscarded;
		boolean resumed = allowed && !isReading();
		context().channel().config().setAutoRead(allowed);
		if (resumed) {
			// The caller could send nothing while this process did not read.
			this.lastActivityAt = now();
		}
	}

	private boolean isReading() {
		return context().channel().config().isAutoRead();
	}

	/**
	 * Closes the connection if it is idle for too long, receives a request too slowly or
	 * takes nothing of a response.
	 * @param now the monotonic time in milliseconds
	 * @param headerTimeoutMs the maximum time to receive the head of a request, in
	 * milliseconds
	 * @param idleTimeoutMs the maximum idle time, in milliseconds
	 */
	void checkTimeouts(long now, long headerTimeoutMs, long idleTimeoutMs) {
		updateBacklog();
		if (this.backlog.untakenMs(now) > idleTimeoutMs) {
			recordClose(CallerCloseReason.NOT_READ, "nothing taken for " + idleTimeoutMs + " ms");
			closeBrokenOff();
			return;
		}
		long idleMs = now - this.lastActivityAt;
		if (this.closing) {
			if (this.lingeringSince < 0 && idleMs > idleTimeoutMs) {
				recordClose(CallerCloseReason.IDLE, "the last response is not read");
				context().close();
			}
			return;
		}
		Exchange current = this.exchange;
		if (current == null && this.headStartedAt >= 0 && !isBlockedByUnreadResponses()
				&& now - this.headStartedAt > headerTimeoutMs) {
			rejectLateHead(headerTimeoutMs);
		}
		else if (current == null && idleMs > idleTimeoutMs) {
			closeIfStillIdle();
		}
		else if (current != null && !current.isBodyComplete() && isReading() && idleMs > idleTimeoutMs) {
			rejectAndClose(current, REQUEST_TIMEOUT, "body not complete after a pause of " + idleTimeoutMs + " ms");
		}
	}

	private void rejectLateHead(long headerTimeoutMs) {
		if (this.decodingSuspended) {
			// The caller has sent it, and this process had no time or memory for it.
			rejectAndClose(SERVICE_UNAVAILABLE, "head not read within " + headerTimeoutMs + " ms",
					this.router.memoryRetryHeaders());
		}
		else {
			rejectAndClose(REQUEST_TIMEOUT, "head not complete after " + headerTimeoutMs + " ms");
		}
	}

	/**
	 * Rejects the request in progress if it is not at a server yet and could not be
	 * completed before the planned stop of this process ends.
	 */
	void rejectIfUnfinishable() {
		Exchange current = this.exchange;
		if (current != null) {
			current.rejectIfUnfinishable();
		}
	}

	/**
	 * Closes the connection if no request is in progress, none is likely to be on its way
	 * and all responses are written, or if it is still open after its last response when
	 * a planned stop ends.
	 */
	void closeIfIdle() {
		closeAtEndOfStop();
		if (this.pendingWrites == 0) {
			closeIfStillIdle();
		}
	}

	/**
	 * Closes the connection if no request is in progress and none is likely to be on its
	 * way. What arrived during a delay of the event loop is read first, since closing the
	 * connection would discard it.
	 */
	private void closeIfStillIdle() {
		if (isIdle()) {
			long idleSince = this.lastActivityAt;
			// The event loop reads before it runs what was scheduled meanwhile.
			context().executor()
				.schedule(() -> closeIfIdleSince(idleSince), READ_BEFORE_CLOSE_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void closeIfIdleSince(long idleSince) {
		if (isIdle() && this.lastActivityAt == idleSince) {
			recordClose(CallerCloseReason.IDLE, "");
			this.closing = true;
			context().close();
		}
	}

	private boolean isIdle() {
		boolean busy = this.closing || this.exchange != null || this.headStartedAt >= 0 || this.discarding
				|| !this.queued.isEmpty() || this.decodingSuspended;
		return !busy && now() - this.lastActivityAt >= MIN_IDLE_BEFORE_CLOSE_MS;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		updateBacklog();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		recordCloseByOthers("");
		Exchange current = this.exchange;
		this.exchange = null;
		this.closing = true;
		releaseQueued();
		reportClose();
		this.pendingMemory.resize(0);
		this.acceptedMemory.resize(0);
		updateBacklog();
		this.router.removeConnection(this);
		if (current != null) {
			current.callerDisconnected();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		recordClose((cause instanceof IOException) ? CallerCloseReason.CONNECTION_FAILED : CallerCloseReason.ERROR,
				String.valueOf(cause));
		ctx.close();
	}

	/**
	 * Records the state of the connection at its close. Only the first call has an
	 * effect, since the ones that follow are its consequences.
	 * @param reason the reason
	 * @param why details of the reason, empty if there are none
	 */
	private void recordClose(CallerCloseReason reason, String why) {
		this.closeRecorder.recordClose(() -> {
			Exchange current = this.exchange;
			return new CallerClose(reason, why, remoteAddress(), progress(current),
					(current != null) ? current.requestId() : "", (current != null) ? current.sends() : 0,
					this.partialHeadBytes, this.bodyUnread || this.discarding, this.router.isStopping(),
					now() - this.lastActivityAt);
		});
	}

	private void recordCloseByOthers(String why) {
		recordClose(context().executor().isShuttingDown() ? CallerCloseReason.PROCESS_ENDED : CallerCloseReason.CALLER,
				why);
	}

	private RequestProgress progress(@Nullable Exchange current) {
		if (!this.requestOpen) {
			return RequestProgress.NONE;
		}
		if (this.responseStarted) {
			return RequestProgress.RESPONDING;
		}
		return (current != null) ? current.progress() : RequestProgress.READ;
	}

	private void reportClose() {
		CallerClose known = this.closeRecorder.report((this.lingeringSince < 0) ? 0 : now() - this.lingeringSince);
		if (known != null) {
			this.router.countCallerClose(known);
		}
	}

	private void releaseUnhandled(HttpObject object) {
		this.closeRecorder.recordDiscarded(object);
		ReferenceCountUtil.release(object);
	}

	private void releaseQueued() {
		this.queued.forEach(this::releaseUnhandled);
		this.queued.clear();
		this.queuedArrivals.clear();
		this.queuedBytes = 0;
		updatePendingMemory();
	}

}
