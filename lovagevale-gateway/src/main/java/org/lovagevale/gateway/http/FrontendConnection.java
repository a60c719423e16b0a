package org.lovagevale.gateway.http;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.LogLine;
import org.lovagevale.core.pipelining.WaitingBytes;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection from a caller.
 *
 * <p>
 * Invariants: responses are sent in the order of the requests, which are handled one
 * after the other unless several of them may run at the same time; a response that closes
 * the connection is the last one; during a planned stop the response to the last request
 * that was started closes it; a request is handled only once most of the earlier
 * responses are taken; after a part of a response that could not be written, nothing more
 * is written and the connection is closed; what has arrived of requests that are not
 * accepted yet is given up if the process is full and this connection holds the most of
 * it. Confined to the event loop.
 */
final class FrontendConnection extends ChannelInboundHandlerAdapter implements CallerOutput.Listener {

	/**
	 * Size of the rest of a request, in bytes, up to which it is discarded so that its
	 * connection can be used again.
	 */
	private static final long MAX_DISCARDED_BYTES = 262_144;

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

	/** Explains the close of this connection. */
	private final CallerCloseRecorder closeRecorder = new CallerCloseRecorder();

	private final CallerInput input;

	private final CallerOutput output;

	private final CallerClosing closing;

	private @Nullable ChannelHandlerContext context;

	/** The responses to the requests in progress, in the order of the requests. */
	private final ArrayDeque<CallerResponse> responses = new ArrayDeque<>();

	private final WaitingBytes waitingBytes = new WaitingBytes();

	private boolean discarding;

	/** Size of the discarded parts of the current request. */
	private long discardedBytes;

	private boolean processing;

	/** Whether another turn of {@link #process()} is scheduled. */
	private boolean processingLater;

	/** Whether the next request waits until the caller takes earlier responses. */
	private boolean awaitingCaller;

	private boolean dataReceived;

	/**
	 * Monotonic time in milliseconds at which the first bytes of a request head arrived
	 * while no request was in progress, or -1 if there is no such head.
	 */
	private long headStartedAt = -1;

	private long lastActivityAt;

	FrontendConnection(RequestRouter router) {
		this.router = router;
		this.input = new CallerInput(router.reserveEvictable(this::evict), router.reserve(), this.closeRecorder);
		this.output = new CallerOutput(router, this.closeRecorder, this);
		this.closing = new CallerClosing(router, this.closeRecorder);
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
		this.input.start(added);
		this.output.start(added);
	}

	/**
	 * Returns the exchange of the last request that was begun, whose body may be read.
	 * @return the exchange, or {@code null} if there is none
	 */
	private @Nullable Exchange lastExchange() {
		CallerResponse last = this.responses.peekLast();
		return (last != null) ? last.exchange() : null;
	}

	/**
	 * Records the arrival of bytes that are not decoded yet. Stops reading if the process
	 * is full, unless they belong to a request that was accepted with its body.
	 */
	void bytesArrived() {
		this.dataReceived = true;
		if (this.closing.hasBegun()) {
			return;
		}
		this.lastActivityAt = now();
		if (this.responses.isEmpty() && !this.discarding && this.headStartedAt < 0) {
			this.headStartedAt = this.lastActivityAt;
		}
		this.router.evictExcess();
		Exchange current = lastExchange();
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
		return this.closing.hasBegun() || this.input.isWanted() && !this.input.isFull()
				&& (this.discarding || !this.input.isPausedForMemory() || !this.router.isMemoryOverfull());
	}

	/**
	 * Records what is held after received bytes were decoded.
	 * @param decoder the decoder of this connection
	 */
	void turnEnded(PartDecoder decoder) {
		this.input.turnEnded(decoder, this.closing.hasBegun());
		applyReading();
		updatePendingMemory();
		this.router.evictExcess();
	}

	private void updatePendingMemory() {
		this.input.updateMemory(lastExchange());
	}

	// A request whose head is incomplete has not run. Requests behind one in progress are
	// sent again by the caller if their connection is closed after its response.
	private void evict() {
		CallerResponse current = this.responses.peekLast();
		if (this.closing.hasBegun() || current != null && current.isBodyIncomplete()) {
			return;
		}
		if (current == null && this.discarding) {
			closeAfterLastResponse(true, false);
		}
		else if (current == null) {
			rejectAndClose(SERVICE_UNAVAILABLE, "no memory for the request", this.router.memoryRetryHeaders());
		}
		else {
			current.closeAfter();
			this.input.setDiscarded(true);
			discardQueued();
			discardUndecoded();
			applyReading();
		}
	}

	private void discardUndecoded() {
		this.input.discardUndecoded();
		updatePendingMemory();
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
		this.input.setPausedForMemory(true);
		this.router.pauseReading(this);
		applyReading();
	}

	/**
	 * Tells whether a request is in progress or has arrived in part.
	 * @return {@code true} if the caller waits for a response
	 */
	boolean hasRequest() {
		return !this.responses.isEmpty() || this.headStartedAt >= 0;
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
		this.input.setPausedForMemory(false);
		applyReading();
		this.input.continueDecoding();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		HttpObject object = (HttpObject) message;
		if (object.decoderResult().cause() instanceof PrematureChannelClosureException) {
			recordCloseByOthers("head not complete");
		}
		if (this.closing.hasBegun()) {
			this.input.discard(object);
			return;
		}
		if (object instanceof HttpRequest head) {
			this.input.addHead(head, this.router.arrivalTime(ctx.channel()));
		}
		else {
			this.input.add(object);
		}
		process();
	}

	private void process() {
		if (this.processing) {
			return;
		}
		this.processing = true;
		try {
			beginTurn();
			boolean begun = false;
			boolean proceeding = true;
			while (proceeding && !this.input.isEmpty()) {
				boolean begins = this.input.peek() instanceof HttpRequest;
				if (begins && begun && isLastAnswered()) {
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
			this.input.continueDecoding();
		}
	}

	private boolean isLastAnswered() {
		CallerResponse last = this.responses.peekLast();
		return last == null || last.isWaitingComplete();
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
		logFailure(cause);
		CallerResponse current = this.responses.peekLast();
		boolean answerable = current != null && !current.isStarted() && !this.output.hasFailed();
		RequestProgress progress = (current != null && !answerable) ? current.progress() : RequestProgress.NONE;
		recordClose(CallerCloseReason.ERROR, String.valueOf(cause), progress);
		if (current != null && answerable && isAnsweredAfterFailure(current)) {
			return;
		}
		this.closing.begin();
		this.discarding = false;
		discardQueued();
		context().flush();
		// The request in progress ends when the channel becomes inactive.
		context().close();
	}

	private boolean isAnsweredAfterFailure(CallerResponse current) {
		try {
			current.closeAfter();
			Exchange failed = current.exchange();
			if (failed != null) {
				failed.requestFailed(INTERNAL_ERROR, "internal error");
			}
			else {
				current.reply(INTERNAL_ERROR, "internal error", new DefaultHttpHeaders());
			}
			return this.closing.hasBegun() || current.isWaitingComplete();
		}
		catch (RuntimeException ex) {
			logFailure(ex);
			return false;
		}
	}

	private void logFailure(RuntimeException cause) {
		LOGGER.error("{}",
				LogLine.event("request.broken")
					.with("caller", this.output.remoteHost())
					.with("why", String.valueOf(cause)),
				cause);
	}

	private boolean processNext() {
		Exchange current = lastExchange();
		if (current != null && !current.isBodyComplete()) {
			receiveBody(current, this.input.remove());
			return true;
		}
		if (isBlockedByUnreadResponses()) {
			this.awaitingCaller = true;
			return false;
		}
		if (this.input.peek() instanceof HttpRequest head && !mayStart(head)) {
			return false;
		}
		HttpObject next = this.input.remove();
		if (this.discarding) {
			discard(next);
		}
		else if (this.closing.hasBegun()) {
			this.input.discard(next);
		}
		else if (next instanceof HttpRequest head) {
			beginRequest(head);
		}
		else {
			ReferenceCountUtil.release(next);
		}
		return true;
	}

	private boolean mayStart(HttpRequest head) {
		CallerResponse last = this.responses.peekLast();
		return last == null || this.closing.hasBegun()
				|| this.router.mayStartBehind(head, this.responses.size(), last.isConcurrent(), !last.isKeepAlive());
	}

	// A caller that sends requests and does not read the responses would otherwise have
	// them all queued.
	private boolean isBlockedByUnreadResponses() {
		return !this.input.isEmpty() && !this.discarding && !this.closing.hasBegun() && !this.output.isWritable();
	}

	private void receiveBody(Exchange current, HttpObject next) {
		if (next.decoderResult().isFailure() || !(next instanceof HttpContent content)) {
			ReferenceCountUtil.release(next);
			failAndClose(current, BAD_REQUEST, "malformed body");
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
			closeAfterLastResponse(true, false);
		}
	}

	private void beginRequest(HttpRequest head) {
		this.headStartedAt = -1;
		CallerResponse begun = new CallerResponse(this, this.router, this.output, head);
		if (!this.responses.isEmpty()) {
			begun.awaitTurn(this.waitingBytes);
			this.router.countPipelinedRequest();
		}
		this.responses.add(begun);
		if (head.decoderResult().isFailure()) {
			Throwable cause = head.decoderResult().cause();
			begun.rejectAndClose((cause instanceof TooLongFrameException) ? HEADERS_TOO_LARGE : BAD_REQUEST,
					String.valueOf(cause.getMessage()));
			return;
		}
		if (HttpUtil.is100ContinueExpected(head)) {
			this.output.write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
			this.output.flush();
		}
		this.router.accept(head, begun, this.output.remoteHost(), this.input.arrivedAt());
	}

	private void rejectAndClose(int status, String reason, HttpHeaders headers) {
		CallerResponse rejection = new CallerResponse(this, this.router, this.output);
		this.responses.add(rejection);
		rejection.rejectAndClose(status, reason, headers);
	}

	private void failAndClose(Exchange current, int status, String reason) {
		CallerResponse failed = this.responses.peekLast();
		if (failed != null) {
			failed.closeAfter();
		}
		current.requestFailed(status, reason);
	}

	/**
	 * Discards the rest of the request that was begun last.
	 */
	void discardRest() {
		this.discarding = true;
		this.discardedBytes = 0;
	}

	/**
	 * Passes on all that was written.
	 */
	void flush() {
		this.output.flush();
		updateBacklog();
	}

	@Override
	public void partWritten() {
		if (this.responses.isEmpty()) {
			this.lastActivityAt = now();
		}
		updateBacklog();
	}

	private void updateBacklog() {
		this.output.updateBacklog();
		for (CallerResponse current : this.responses) {
			Exchange exchange = current.exchange();
			if (exchange != null) {
				exchange.callerWritable();
			}
		}
		CallerResponse first = this.responses.peek();
		if ((this.awaitingCaller || first != null && first.isWaiting()) && this.output.isWritable()) {
			this.awaitingCaller = false;
			// A write that has just ended may be a part of handling a response.
			processLater();
		}
	}

	/**
	 * Tells whether more may be kept of responses that wait for their turn.
	 * @return {@code false} if no more of them is to be read
	 */
	boolean mayKeepMore() {
		return !this.waitingBytes.isFull() && !this.router.isResponseMemoryFull();
	}

	/**
	 * Tells whether no request behind this one was started.
	 * @param response the response to the request
	 * @return {@code true} if no other response follows, as far as is known
	 */
	boolean isLastStarted(CallerResponse response) {
		return this.responses.peekLast() == response;
	}

	@Override
	public void outputEvicted() {
		recordClose(CallerCloseReason.NOT_READ, "no memory for the response");
		closeBrokenOff();
	}

	/**
	 * Closes the connection after a part of a response could not be written.
	 * @param cause the error
	 */
	@Override
	public void writeFailed(Throwable cause) {
		recordClose(CallerCloseReason.WRITE_FAILED, String.valueOf(cause));
		closeBrokenOff();
	}

	/**
	 * Returns what writes the responses.
	 * @return the output of this connection
	 */
	CallerOutput output() {
		return this.output;
	}

	/**
	 * Proceeds to the next request after a response was written to its end.
	 * @param ended the response
	 */
	void responseEnded(CallerResponse ended) {
		this.responses.remove(ended);
		this.lastActivityAt = now();
		if (this.output.hasFailed()) {
			return;
		}
		if (ended.isKeepAlive() && !ended.isBodyIncomplete()) {
			flush();
			beginTurn();
			setReading(true);
			process();
			return;
		}
		closeAfterLastResponse(ended.isBodyIncomplete() || this.discarding, ended.isCloseDelimited());
	}

	// The response whose turn it is waits until the caller takes earlier ones.
	private void beginTurn() {
		CallerResponse first = this.responses.peek();
		if (first == null || !first.isWaiting() || this.closing.hasBegun() || !this.output.isWritable()) {
			return;
		}
		try {
			first.takeTurn();
		}
		catch (RuntimeException ex) {
			// A part of the response may be missing, so nothing can follow it.
			logFailure(ex);
			recordClose(CallerCloseReason.ERROR, String.valueOf(ex));
			closeBrokenOff();
		}
	}

	private void cancelResponses() {
		List<CallerResponse> cancelled = List.copyOf(this.responses);
		this.responses.clear();
		cancelled.forEach(CallerResponse::cancel);
	}

	private void closeAfterLastResponse(boolean bodyIncomplete, boolean closeDelimited) {
		this.discarding = false;
		this.input.setPausedForMemory(false);
		this.headStartedAt = -1;
		this.input.setDiscarded(false);
		this.closing.begin();
		cancelResponses();
		discardQueued();
		if (this.input.hasUndecoded()) {
			discardUndecoded();
		}
		this.closing.beginAfterLastResponse(context(), bodyIncomplete);
		setReading(true);
		this.closing.closeAfterWrites(context(), () -> {
			recordClose(bodyIncomplete ? CallerCloseReason.EARLY_RESPONSE : CallerCloseReason.LAST_RESPONSE, "");
			if (closeDelimited) {
				this.output.resetOnClose(false);
			}
		});
		updateBacklog();
	}

	/**
	 * Closes the connection because a response cannot be completed.
	 * @param aborted the response
	 * @param reason the reason
	 */
	void responseAborted(CallerResponse aborted, String reason) {
		recordClose(CallerCloseReason.RESPONSE_ABORTED, reason);
		this.responses.remove(aborted);
		context().flush();
		closeBrokenOff();
	}

	private void closeBrokenOff() {
		this.closing.begin();
		this.discarding = false;
		discardQueued();
		context().close();
	}

	/**
	 * Sets whether further data of a request is read, unless a later one was begun.
	 * @param response the response to the request
	 * @param reading {@code true} to read, {@code false} to apply backpressure
	 */
	void setReading(CallerResponse response, boolean reading) {
		if (this.responses.isEmpty() || isLastStarted(response)) {
			setReading(reading);
		}
	}

	private void setReading(boolean reading) {
		this.input.setWanted(reading);
		applyReading();
		if (reading) {
			this.input.continueDecoding();
		}
	}

	private void applyReading() {
		if (this.input.applyReading()) {
			// The caller could send nothing while this process did not read.
			this.lastActivityAt = now();
		}
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
		if (this.output.untakenMs(now) > idleTimeoutMs) {
			recordClose(CallerCloseReason.NOT_READ, "nothing taken for " + idleTimeoutMs + " ms");
			closeBrokenOff();
			return;
		}
		long idleMs = now - this.lastActivityAt;
		if (this.closing.hasBegun()) {
			if (!this.closing.isLingering() && idleMs > idleTimeoutMs) {
				recordClose(CallerCloseReason.IDLE, "the last response is not read");
				context().close();
			}
			return;
		}
		Exchange current = lastExchange();
		boolean unoccupied = this.responses.isEmpty();
		if (unoccupied && this.headStartedAt >= 0 && !isBlockedByUnreadResponses()
				&& now - this.headStartedAt > headerTimeoutMs) {
			rejectLateHead(headerTimeoutMs);
		}
		else if (unoccupied && idleMs > idleTimeoutMs) {
			closeIfStillIdle();
		}
		else if (current != null && !current.isBodyComplete() && this.input.isReading() && idleMs > idleTimeoutMs) {
			failAndClose(current, REQUEST_TIMEOUT, "body not complete after a pause of " + idleTimeoutMs + " ms");
		}
	}

	private void rejectLateHead(long headerTimeoutMs) {
		if (this.input.isDecodingSuspended()) {
			// The caller has sent it, and this process had no time or memory for it.
			rejectAndClose(SERVICE_UNAVAILABLE, "head not read within " + headerTimeoutMs + " ms",
					this.router.memoryRetryHeaders());
		}
		else {
			rejectAndClose(REQUEST_TIMEOUT, "head not complete after " + headerTimeoutMs + " ms",
					new DefaultHttpHeaders());
		}
	}

	/**
	 * Rejects the requests in progress that are not at a server yet and could not be
	 * completed before the planned stop of this process ends.
	 */
	void rejectIfUnfinishable() {
		for (CallerResponse response : List.copyOf(this.responses)) {
			Exchange current = response.exchange();
			if (current != null) {
				current.rejectIfUnfinishable();
			}
		}
	}

	/**
	 * Closes the connection if no request is in progress, none is likely to be on its way
	 * and all responses are written, or if it is still open after its last response when
	 * a planned stop ends.
	 */
	void closeIfIdle() {
		this.closing.closeAtEndOfStop();
		if (!this.output.hasPendingWrites()) {
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
			this.closing.begin();
			context().close();
		}
	}

	private boolean isIdle() {
		boolean busy = this.closing.hasBegun() || !this.responses.isEmpty() || this.headStartedAt >= 0
				|| this.discarding || !this.input.isEmpty() || this.input.isDecodingSuspended();
		return !busy && now() - this.lastActivityAt >= MIN_IDLE_BEFORE_CLOSE_MS;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		updateBacklog();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		recordCloseByOthers("");
		this.closing.begin();
		discardQueued();
		this.closing.report();
		this.input.releaseMemory();
		updateBacklog();
		this.router.removeConnection(this);
		cancelResponses();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		recordClose((cause instanceof IOException) ? CallerCloseReason.CONNECTION_FAILED : CallerCloseReason.ERROR,
				String.valueOf(cause));
		ctx.close();
	}

	private void recordClose(CallerCloseReason reason, String why) {
		CallerResponse current = this.responses.peek();
		recordClose(reason, why, (current != null) ? current.progress() : RequestProgress.NONE);
	}

	/**
	 * Records the state of the connection at its close. Only the first call has an
	 * effect, since the ones that follow are its consequences.
	 * @param reason the reason
	 * @param why details of the reason, empty if there are none
	 * @param progress the progress of the request in progress
	 */
	private void recordClose(CallerCloseReason reason, String why, RequestProgress progress) {
		this.closeRecorder.recordClose(() -> {
			CallerResponse first = this.responses.peek();
			Exchange current = (first != null) ? first.exchange() : null;
			return new CallerClose(reason, why, this.output.remoteAddress(), progress,
					(current != null) ? current.requestId() : "", (current != null) ? current.sends() : 0,
					this.input.partialHeadBytes(), this.closing.isBodyUnread() || this.discarding,
					this.router.isStopping(), now() - this.lastActivityAt);
		});
	}

	private void recordCloseByOthers(String why) {
		recordClose(context().executor().isShuttingDown() ? CallerCloseReason.PROCESS_ENDED : CallerCloseReason.CALLER,
				why);
	}

	private void discardQueued() {
		this.input.discardQueued();
		updatePendingMemory();
	}

}
