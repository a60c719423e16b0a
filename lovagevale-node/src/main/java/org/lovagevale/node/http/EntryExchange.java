package org.lovagevale.node.http;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.LogLine;
import org.lovagevale.core.FailureKind;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.Refusal;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.RequestHead;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.StoredAnswer;
import org.lovagevale.core.decision.AbortAnswer;
import org.lovagevale.core.decision.CancelAttempt;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.Dispatch;
import org.lovagevale.core.decision.PassOn;
import org.lovagevale.core.decision.ReadPrefix;
import org.lovagevale.core.decision.Refuse;
import org.lovagevale.core.decision.Replay;
import org.lovagevale.core.event.AnswerEnded;
import org.lovagevale.core.event.AnswerHeadArrived;
import org.lovagevale.core.event.AttemptFailed;
import org.lovagevale.core.event.CallerGone;
import org.lovagevale.core.event.HeadArrived;
import org.lovagevale.core.event.PrefixArrived;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SignalType;
import reactor.core.publisher.Sinks;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Handles one request of a caller, from its head to the end of the response.
 *
 * <p>
 * Invariant: at most one response is started, and if it cannot be completed, the caller's
 * connection is reset. All code runs on the event loop of the caller's connection unless
 * stated otherwise.
 */
final class EntryExchange implements HttpAttempt.Listener, RequestBody.Listener {

	private static final Logger LOG = LoggerFactory.getLogger(EntryExchange.class);

	// Enough for a caller to send what its send buffer held when the request was refused.
	private static final long MAX_DRAIN_BYTES = 1_048_576;

	private static final long MAX_DRAIN_MS = 1_000;

	/** Number of stall checks in one idle timeout. */
	private static final long STALL_CHECKS_PER_IDLE_TIMEOUT = 4;

	private final RequestId id;

	private final RequestHead head;

	private final HttpServerRequest request;

	private final HttpServerResponse out;

	private final EntryExchangeContext context;

	private final Channel channel;

	private final EventLoop loop;

	private final RequestBody body;

	private final List<HttpAttempt> attempts = new ArrayList<>(1);

	private final Sinks.One<Mono<Void>> responseSink = Sinks.one();

	private final Sinks.Empty<Void> drained = Sinks.empty();

	private final ChannelFutureListener closeListener = (future) -> callerClosed();

	private final boolean hasBody;

	private @Nullable FingerprintBuilder fingerprint;

	private @Nullable ScheduledFuture<?> stallCheck;

	private @Nullable HttpAttempt forwardedAttempt;

	private long idleTimeoutNanos = Long.MAX_VALUE;

	private long prefixReadNanos;

	// Written by the response stream, which runs on another event loop.
	private volatile long lastProgressNanos = System.nanoTime();

	// Written by the response stream, which runs on another event loop.
	private volatile boolean responseReceived;

	private boolean attemptStarted;

	private boolean responseStarted;

	private boolean finished;

	private boolean callerGone;

	private boolean callerDisconnected;

	private boolean connectionReset;

	private @Nullable Runnable completionReport;

	EntryExchange(RequestId id, RequestHead head, HttpServerRequest request, HttpServerResponse out, Channel channel,
			EntryExchangeContext context) {
		this.id = id;
		this.head = head;
		this.request = request;
		this.out = out;
		this.context = context;
		this.channel = channel;
		this.loop = channel.eventLoop();
		this.hasBody = head.contentLength() != 0;
		this.body = new RequestBody(Flux.defer(request::receive), this.loop, this);
		if (!this.hasBody) {
			this.body.markEmpty();
		}
	}

	/**
	 * Handles the request.
	 * @return a {@code Mono} that completes with the response
	 */
	Mono<Void> run() {
		this.context.metrics().countRequest();
		this.out.header(HeaderNames.REQUEST_ID, this.id.toString());
		this.out.header(HeaderNames.VM, this.context.vm().value());
		this.channel.closeFuture().addListener(this.closeListener);
		this.context.engine().register(this.id, this::onLoop, this::execute);
		this.context.engine().apply(new HeadArrived(this.id, this.head));
		return this.responseSink.asMono()
			.flatMap(Function.identity())
			.doFinally((signal) -> onLoop((signal == SignalType.ON_COMPLETE) ? this::finish : this::callerClosed));
	}

	private void onLoop(Runnable task) {
		if (this.loop.inEventLoop()) {
			task.run();
		}
		else {
			this.loop.execute(task);
		}
	}

	private void execute(Decision decision) {
		if (this.finished) {
			return;
		}
		switch (decision) {
			case ReadPrefix d -> readPrefix(d);
			case Dispatch d -> dispatch(d);
			case PassOn d -> passOn(d);
			case CancelAttempt d -> cancel(d);
			case Refuse d when !this.callerGone -> refuse(d.refusal());
			case Replay d when !this.callerGone -> replay(d.answer());
			case Refuse d -> {
				// The response was started without the decision logic, or the caller is
				// gone.
			}
			case Replay d -> {
				// As for Refuse.
			}
			case AbortAnswer d -> abort("the response cannot be completed");
			default -> throw new IllegalStateException("decision does not belong to a request: " + decision);
		}
		finishIfDisconnected();
	}

	private void readPrefix(ReadPrefix d) {
		if (d.idleTimeoutMs() > 0) {
			this.idleTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(d.idleTimeoutMs());
		}
		if (this.head.contentLength() > d.maxRequestBytes()) {
			bodyTooLarge();
			return;
		}
		FingerprintBuilder builder = new FingerprintBuilder(this.head, d.maxPrefixBytes());
		this.fingerprint = builder;
		if (this.hasBody) {
			startStallCheck();
		}
		this.body.readPrefix(builder, d.maxRequestBytes());
	}

	@Override
	public void prefixRead() {
		FingerprintBuilder builder = this.fingerprint;
		if (this.finished || builder == null) {
			return;
		}
		this.fingerprint = null;
		this.prefixReadNanos = System.nanoTime();
		this.context.engine().apply(new PrefixArrived(this.id, builder.build()));
	}

	@Override
	public void bodyTooLarge() {
		abandonRequest();
		// An earlier or delayed copy with the same key may run, since the state of the
		// key has not been checked.
		boolean mayRun = this.attemptStarted || this.head.key() != null;
		Outcome outcome = mayRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
		this.context.metrics().countRefusal(RefusalReason.BODY_TOO_LARGE.toHeader(), outcome.toHeader());
		refuse(new Refusal(RefusalReason.BODY_TOO_LARGE, outcome, 0, "Send a smaller request body."));
	}

	@Override
	public void connectionFailed() {
		abort("the request body cannot be read");
	}

	@Override
	public void progressMade() {
		this.lastProgressNanos = System.nanoTime();
	}

	private void dispatch(Dispatch d) {
		if (!this.body.isReadable()) {
			// A part of the body is no longer held, so the request cannot be sent again.
			// TIMED_OUT ends it here: a timeout neither counts as a crash of the server
			// nor proves that nothing ran.
			this.context.engine().apply(new AttemptFailed(this.id, d.attempt(), FailureKind.TIMED_OUT));
			return;
		}
		this.attemptStarted = true;
		HttpAttempt attempt = new HttpAttempt(d, this.loop, this.context.clock(), this);
		this.attempts.add(attempt);
		Flux<ByteBuf> content = this.hasBody ? this.body.read() : null;
		attempt.start(this.context.backendClients().client(d.server()), this.request.method(), target(), headersFor(d),
				content);
	}

	private String target() {
		return this.head.query().isEmpty() ? this.head.path() : this.head.path() + "?" + this.head.query();
	}

	private HttpHeaders headersFor(Dispatch d) {
		HttpHeaders headers = ForwardedHeaders.toServer(this.request.requestHeaders());
		headers.set(HeaderNames.REQUEST_ID, this.id.toString());
		headers.set(HeaderNames.DEADLINE, String.valueOf(d.deadlineEpochMillis()));
		headers.set(HeaderNames.ATTEMPT, String.valueOf(d.attempt()));
		if (d.retried()) {
			headers.set(HeaderNames.RETRIED, "1");
		}
		if (this.hasBody && this.head.contentLength() < 0) {
			headers.set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
		}
		return headers;
	}

	@Override
	public void headArrived(HttpAttempt attempt, HttpClientResponse response) {
		if (attempt.number() == 1) {
			this.context.metrics()
				.recordAddedLatency(attempt.dispatch().server(), attempt.firstWriteNanos() - this.prefixReadNanos);
		}
		HttpHeaders headers = response.responseHeaders();
		LoadReport report = LoadReportParser.parse(headers.get(HeaderNames.LOAD));
		boolean notRun = "true".equalsIgnoreCase(headers.get(HeaderNames.NOT_RUN));
		this.context.engine()
			.apply(new AnswerHeadArrived(this.id, attempt.number(), response.status().code(), notRun, report));
		if (notRun && attempt != this.forwardedAttempt) {
			attempt.skipBody();
		}
	}

	@Override
	public void failed(HttpAttempt attempt, FailureKind kind) {
		this.context.metrics().countAttemptFailure(attempt.dispatch().server(), kind);
		this.context.engine().apply(new AttemptFailed(this.id, attempt.number(), kind));
		if (attempt == this.forwardedAttempt) {
			abort("the server's response ended with " + kind);
		}
		finishIfDisconnected();
	}

	private void passOn(PassOn d) {
		HttpAttempt attempt = findAttempt(d.attempt());
		HttpClientResponse response = (attempt != null) ? attempt.response() : null;
		if (attempt == null || response == null || attempt.isClosed() || this.responseStarted || this.callerGone) {
			return;
		}
		this.forwardedAttempt = attempt;
		int status = response.status().code();
		this.out.status(status);
		HttpHeaders target = this.out.responseHeaders();
		ForwardedHeaders.toCaller(response.responseHeaders())
			.forEach((header) -> target.add(header.getKey(), header.getValue()));
		ReplayBuffer stored = new ReplayBuffer(d.maxStoredBytes());
		Flux<ByteBuf> content = responseContent(attempt, stored);
		String type = response.responseHeaders().get(HttpHeaderNames.CONTENT_TYPE, "");
		progressMade();
		startStallCheck();
		Runnable report = () -> reportCompletion(attempt, status, type, stored.bytes());
		this.completionReport = report;
		startResponse(send(response, content).doOnSuccess((ignored) -> onLoop(report)));
	}

	private Mono<Void> send(HttpClientResponse response, Flux<ByteBuf> content) {
		if (Statuses.isBodyless(this.request.method(), response.status().code())) {
			return content.doOnNext(ReferenceCountUtil::safeRelease)
				.then(Mono.defer(() -> this.out.sendHeaders().then()));
		}
		return this.out.send(content).then();
	}

	private Flux<ByteBuf> responseContent(HttpAttempt attempt, ReplayBuffer stored) {
		boolean selfDelimited = isSelfDelimited(attempt);
		return attempt.body().doOnNext((chunk) -> {
			progressMade();
			stored.add(chunk);
		})
			.concatWith(selfDelimited ? Flux.empty()
					: Flux
						.error(new IllegalStateException("response body is neither chunked nor has a Content-Length")))
			.doOnComplete(() -> {
				this.responseReceived = true;
				attempt.complete();
			})
			.onErrorResume((error) -> {
				onLoop(() -> attempt.fail(FailureKind.LOST_IN_BODY));
				// If this stream ended, even with an error, the response could look
				// complete.
				return Flux.never();
			});
	}

	// A body that is delimited by the end of its connection looks complete wherever it
	// was truncated.
	private boolean isSelfDelimited(HttpAttempt attempt) {
		HttpClientResponse response = attempt.response();
		if (response == null || Statuses.isBodyless(this.request.method(), response.status().code())) {
			return true;
		}
		HttpHeaders headers = response.responseHeaders();
		return headers.contains(HttpHeaderNames.CONTENT_LENGTH) || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
	}

	private void reportCompletion(HttpAttempt attempt, int status, String type, byte @Nullable [] content) {
		this.completionReport = null;
		if (this.connectionReset || !this.responseReceived) {
			// Sending also completes without an error when the connection is reset.
			return;
		}
		StoredAnswer stored = (content != null) ? new StoredAnswer(status, type, content) : null;
		this.context.engine().apply(new AnswerEnded(this.id, attempt.number(), stored));
	}

	private void cancel(CancelAttempt d) {
		HttpAttempt attempt = findAttempt(d.attempt());
		if (attempt != null) {
			attempt.cancel();
		}
	}

	private @Nullable HttpAttempt findAttempt(int number) {
		for (HttpAttempt attempt : this.attempts) {
			if (attempt.number() == number) {
				return attempt;
			}
		}
		return null;
	}

	private void refuse(Refusal refusal) {
		if (this.responseStarted) {
			abort("another response was started");
			return;
		}
		startResponse(ResponseWriter.writeRefusal(this.out, this.request.method(), refusal));
	}

	private void replay(StoredAnswer stored) {
		if (this.responseStarted) {
			abort("another response was started");
			return;
		}
		startResponse(ResponseWriter.writeReplay(this.out, this.request.method(), stored));
	}

	private void startResponse(Mono<Void> sending) {
		this.responseStarted = true;
		if (!this.body.isComplete() || this.context.leaving().getAsBoolean()) {
			this.out.keepAlive(false);
		}
		this.responseSink.tryEmitValue(sending.then(Mono.defer(this::drain)));
	}

	// Closing a connection with unread bytes resets it, and the caller may lose the
	// response.
	private Mono<Void> drain() {
		if (this.body.isComplete() || this.request.requestHeaders().contains(HttpHeaderNames.EXPECT)) {
			return Mono.empty();
		}
		this.loop.schedule(this.drained::tryEmitEmpty, MAX_DRAIN_MS, TimeUnit.MILLISECONDS);
		this.attempts.forEach(HttpAttempt::cancel);
		this.loop.execute(() -> this.body.drain(MAX_DRAIN_BYTES, this.drained::tryEmitEmpty));
		return this.drained.asMono();
	}

	private void abort(String reason) {
		if (this.connectionReset) {
			return;
		}
		this.connectionReset = true;
		if (this.channel.isOpen()) {
			this.context.metrics().countAbortedResponse();
			LOG.warn("{}",
					LogLine.event("response.aborted")
						.with("id", this.id)
						.with("started", this.responseStarted)
						.with("reason", reason));
		}
		// Deferred: closing a channel while its decoder runs would release the decoder's
		// buffer.
		this.loop.execute(this::resetChannel);
	}

	private void resetChannel() {
		if (this.channel.isOpen()) {
			// A reset, unlike a normal close, cannot be mistaken for the end of a
			// response without a length.
			this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
			this.channel.close();
		}
	}

	private void startStallCheck() {
		if (this.stallCheck != null || this.idleTimeoutNanos == Long.MAX_VALUE) {
			return;
		}
		long period = Math.max(1, this.idleTimeoutNanos / STALL_CHECKS_PER_IDLE_TIMEOUT);
		this.stallCheck = this.loop.scheduleWithFixedDelay(this::checkStall, period, period, TimeUnit.NANOSECONDS);
	}

	private void checkStall() {
		if (this.finished || System.nanoTime() - this.lastProgressNanos < this.idleTimeoutNanos) {
			return;
		}
		HttpAttempt attempt = this.forwardedAttempt;
		boolean callerStalled = this.body.isAwaitingCaller() || (attempt != null && !this.channel.isWritable());
		if (callerStalled || this.responseReceived) {
			abandonRequest();
			abort(callerStalled ? "the caller is stalled" : "the response is stalled");
		}
		else if (attempt != null) {
			attempt.fail(FailureKind.LOST_IN_BODY);
		}
	}

	private void callerClosed() {
		if (this.finished || this.callerDisconnected) {
			return;
		}
		this.callerDisconnected = true;
		Runnable report = this.completionReport;
		if (report != null && this.responseReceived) {
			// The server has answered completely, so report that instead of an unknown
			// outcome.
			report.run();
		}
		reportCallerGone();
		if (!this.body.isComplete()) {
			// The server would wait for bytes that never arrive.
			List.copyOf(this.attempts).forEach((attempt) -> attempt.fail(FailureKind.TIMED_OUT));
		}
		finishIfDisconnected();
	}

	// After the caller has disconnected, the decision logic lets an attempt with an
	// idempotency key continue until it is known whether the request ran.
	private void finishIfDisconnected() {
		if (this.callerDisconnected && this.attempts.stream().allMatch(HttpAttempt::isClosed)) {
			finish();
		}
	}

	// Tells the decision logic that the caller is gone, and ends the attempts that it
	// would let continue, since they can neither send the rest of the request nor forward
	// the rest of the response.
	private void abandonRequest() {
		reportCallerGone();
		for (HttpAttempt attempt : List.copyOf(this.attempts)) {
			if (attempt == this.forwardedAttempt) {
				attempt.cancel();
			}
			else {
				attempt.fail(FailureKind.TIMED_OUT);
			}
		}
	}

	private void reportCallerGone() {
		if (this.callerGone) {
			return;
		}
		this.callerGone = true;
		if (!this.connectionReset) {
			this.context.metrics().countCallerGone();
		}
		this.context.engine().apply(new CallerGone(this.id));
	}

	private void finish() {
		if (this.finished) {
			return;
		}
		this.finished = true;
		this.channel.closeFuture().removeListener(this.closeListener);
		if (this.stallCheck != null) {
			this.stallCheck.cancel(false);
		}
		this.attempts.forEach(HttpAttempt::cancel);
		this.body.dispose();
		this.context.engine().unregister(this.id);
		this.drained.tryEmitEmpty();
		this.responseSink.tryEmitEmpty();
	}

}
