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
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SignalType;
import reactor.core.publisher.Sinks;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * One request of a caller, from its head to the end of its response.
 *
 * <p>
 * Invariant: at most one response is begun, and a response that cannot be completed ends
 * with a reset of the caller's connection. Everything runs on the event loop of the
 * caller's connection, except where said otherwise.
 */
final class Exchange implements Attempt.Listener, RequestBody.Listener {

	// Enough for a caller to finish what it had in its send buffer when it was refused.
	private static final long DRAIN_BYTES = 1_048_576;

	private static final long DRAIN_MS = 1_000;

	/** Stall checks in one idle time. */
	private static final long CHECKS_PER_IDLE_TIME = 4;

	private final RequestId id;

	private final RequestHead head;

	private final HttpServerRequest request;

	private final HttpServerResponse out;

	private final ExchangeContext context;

	private final Channel channel;

	private final EventLoop loop;

	private final RequestBody body;

	private final List<Attempt> attempts = new ArrayList<>(1);

	private final Sinks.One<Mono<Void>> answer = Sinks.one();

	private final Sinks.Empty<Void> drained = Sinks.empty();

	private final ChannelFutureListener closeListener = (future) -> callerClosed();

	private final boolean hasBody;

	private @Nullable FingerprintBuilder fingerprint;

	private @Nullable ScheduledFuture<?> stallCheck;

	private @Nullable Attempt passed;

	private long idleNanos = Long.MAX_VALUE;

	private long prefixNanos;

	// Written by the stream of the response on another event loop.
	private volatile long progressNanos = System.nanoTime();

	// Written by the stream of the response on another event loop.
	private volatile boolean responseReceived;

	private boolean dispatched;

	private boolean answered;

	private boolean finished;

	private boolean gone;

	private boolean detached;

	private boolean reset;

	private @Nullable Runnable reportEnd;

	Exchange(RequestId id, RequestHead head, HttpServerRequest request, HttpServerResponse out, Channel channel,
			ExchangeContext context) {
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
	 * @return completes when the response is complete
	 */
	Mono<Void> run() {
		this.context.metrics().requestArrived();
		this.out.header(HeaderNames.REQUEST_ID, this.id.toString());
		this.out.header(HeaderNames.VM, this.context.vm().value());
		this.channel.closeFuture().addListener(this.closeListener);
		this.context.engine().open(this.id, this::onLoop, this::carryOut);
		this.context.engine().apply(new HeadArrived(this.id, this.head));
		return this.answer.asMono()
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

	private void carryOut(Decision decision) {
		if (this.finished) {
			return;
		}
		switch (decision) {
			case ReadPrefix d -> readPrefix(d);
			case Dispatch d -> dispatch(d);
			case PassOn d -> passOn(d);
			case CancelAttempt d -> cancel(d);
			case Refuse d when !this.gone -> refuse(d.refusal());
			case Replay d when !this.gone -> replay(d.answer());
			case Refuse d -> {
				// The process has answered by itself, or nobody waits any more.
			}
			case Replay d -> {
				// As above.
			}
			case AbortAnswer d -> abort();
			default -> throw new IllegalStateException("not a decision about a request: " + decision);
		}
		finishIfDetached();
	}

	private void readPrefix(ReadPrefix d) {
		if (d.idleTimeoutMs() > 0) {
			this.idleNanos = TimeUnit.MILLISECONDS.toNanos(d.idleTimeoutMs());
		}
		if (this.head.contentLength() > d.maxRequestBytes()) {
			tooLarge();
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
		this.prefixNanos = System.nanoTime();
		this.context.engine().apply(new PrefixArrived(this.id, builder.build()));
	}

	@Override
	public void tooLarge() {
		leave();
		// An earlier or delayed copy with the same key may run, and the key was not
		// asked.
		boolean mayRun = this.dispatched || this.head.key() != null;
		Outcome outcome = mayRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
		this.context.metrics().refused(RefusalReason.BODY_TOO_LARGE.toHeader(), outcome.toHeader());
		refuse(new Refusal(RefusalReason.BODY_TOO_LARGE, outcome, 0, "Send a smaller request body."));
	}

	@Override
	public void broken() {
		abort();
	}

	@Override
	public void progressed() {
		this.progressNanos = System.nanoTime();
	}

	private void dispatch(Dispatch d) {
		if (!this.body.isReadable()) {
			// A part of the body is gone. A timeout neither counts as a crash of the
			// server nor as a proof that nothing ran, so the request ends here.
			this.context.engine().apply(new AttemptFailed(this.id, d.attempt(), FailureKind.TIMED_OUT));
			return;
		}
		this.dispatched = true;
		Attempt attempt = new Attempt(d, this.loop, this.context.clock(), this);
		this.attempts.add(attempt);
		Flux<ByteBuf> content = this.hasBody ? this.body.read() : null;
		attempt.start(this.context.connections().client(d.server()), this.request.method(), target(), headersFor(d),
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
	public void headArrived(Attempt attempt, HttpClientResponse response) {
		if (attempt.number() == 1) {
			this.context.metrics().added(attempt.dispatch().server(), attempt.writtenNanos() - this.prefixNanos);
		}
		HttpHeaders headers = response.responseHeaders();
		LoadReport report = LoadReports.parse(headers.get(HeaderNames.LOAD));
		boolean notRun = "true".equalsIgnoreCase(headers.get(HeaderNames.NOT_RUN));
		this.context.engine()
			.apply(new AnswerHeadArrived(this.id, attempt.number(), response.status().code(), notRun, report));
		if (notRun && attempt != this.passed) {
			attempt.skipBody();
		}
	}

	@Override
	public void failed(Attempt attempt, FailureKind kind) {
		this.context.metrics().attemptFailed(attempt.dispatch().server(), kind);
		this.context.engine().apply(new AttemptFailed(this.id, attempt.number(), kind));
		if (attempt == this.passed) {
			abort();
		}
		finishIfDetached();
	}

	private void passOn(PassOn d) {
		Attempt attempt = find(d.attempt());
		HttpClientResponse response = (attempt != null) ? attempt.response() : null;
		if (attempt == null || response == null || attempt.isClosed() || this.answered || this.gone) {
			return;
		}
		this.passed = attempt;
		int status = response.status().code();
		this.out.status(status);
		HttpHeaders target = this.out.responseHeaders();
		ForwardedHeaders.toCaller(response.responseHeaders())
			.forEach((header) -> target.add(header.getKey(), header.getValue()));
		AnswerBody stored = new AnswerBody(d.maxStoredBytes());
		Flux<ByteBuf> content = contentOf(attempt, stored);
		String type = response.responseHeaders().get(HttpHeaderNames.CONTENT_TYPE, "");
		progressed();
		startStallCheck();
		Runnable report = () -> passedOn(attempt, status, type, stored.bytes());
		this.reportEnd = report;
		begin(send(response, content).doOnSuccess((ignored) -> onLoop(report)));
	}

	private Mono<Void> send(HttpClientResponse response, Flux<ByteBuf> content) {
		if (Statuses.isBodyless(this.request.method(), response.status().code())) {
			return content.doOnNext(ReferenceCountUtil::safeRelease)
				.then(Mono.defer(() -> this.out.sendHeaders().then()));
		}
		return this.out.send(content).then();
	}

	private Flux<ByteBuf> contentOf(Attempt attempt, AnswerBody stored) {
		boolean endProvable = isEndProvable(attempt);
		return attempt.body().doOnNext((chunk) -> {
			progressed();
			stored.add(chunk);
		})
			.concatWith(endProvable ? Flux.empty() : Flux.error(new IllegalStateException("end not provable")))
			.doOnComplete(() -> {
				this.responseReceived = true;
				attempt.completed();
			})
			.onErrorResume((error) -> {
				onLoop(() -> attempt.fail(FailureKind.LOST_IN_BODY));
				// An end or an error of this stream could let the response look complete.
				return Flux.never();
			});
	}

	// A body that ends with its connection looks complete wherever it was cut off.
	private boolean isEndProvable(Attempt attempt) {
		HttpClientResponse response = attempt.response();
		if (response == null || Statuses.isBodyless(this.request.method(), response.status().code())) {
			return true;
		}
		HttpHeaders headers = response.responseHeaders();
		return headers.contains(HttpHeaderNames.CONTENT_LENGTH) || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
	}

	private void passedOn(Attempt attempt, int status, String type, byte @Nullable [] content) {
		this.reportEnd = null;
		if (this.reset || !this.responseReceived) {
			// Sending also ends without an error when the connection is reset.
			return;
		}
		StoredAnswer stored = (content != null) ? new StoredAnswer(status, type, content) : null;
		this.context.engine().apply(new AnswerEnded(this.id, attempt.number(), stored));
	}

	private void cancel(CancelAttempt d) {
		Attempt attempt = find(d.attempt());
		if (attempt != null) {
			attempt.cancel();
		}
	}

	private @Nullable Attempt find(int number) {
		for (Attempt attempt : this.attempts) {
			if (attempt.number() == number) {
				return attempt;
			}
		}
		return null;
	}

	private void refuse(Refusal refusal) {
		if (this.answered) {
			abort();
			return;
		}
		begin(Answers.refuse(this.out, this.request.method(), refusal));
	}

	private void replay(StoredAnswer stored) {
		if (this.answered) {
			abort();
			return;
		}
		begin(Answers.replay(this.out, this.request.method(), stored));
	}

	private void begin(Mono<Void> sending) {
		this.answered = true;
		if (!this.body.isComplete() || this.context.leaving().getAsBoolean()) {
			this.out.keepAlive(false);
		}
		this.answer.tryEmitValue(sending.then(Mono.defer(this::drain)));
	}

	// A connection closed with unread bytes is reset, and the caller may lose the answer.
	private Mono<Void> drain() {
		if (this.body.isComplete() || this.request.requestHeaders().contains(HttpHeaderNames.EXPECT)) {
			return Mono.empty();
		}
		this.loop.schedule(this.drained::tryEmitEmpty, DRAIN_MS, TimeUnit.MILLISECONDS);
		this.attempts.forEach(Attempt::cancel);
		this.loop.execute(() -> this.body.drain(DRAIN_BYTES, this.drained::tryEmitEmpty));
		return this.drained.asMono();
	}

	private void abort() {
		this.reset = true;
		// Closing a channel while its decoder runs would release the decoder's buffer.
		this.loop.execute(this::resetChannel);
	}

	private void resetChannel() {
		if (this.channel.isOpen()) {
			// A reset cannot be taken for the end of a response that has no length.
			this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
			this.channel.close();
		}
	}

	private void startStallCheck() {
		if (this.stallCheck != null || this.idleNanos == Long.MAX_VALUE) {
			return;
		}
		long period = Math.max(1, this.idleNanos / CHECKS_PER_IDLE_TIME);
		this.stallCheck = this.loop.scheduleWithFixedDelay(this::checkStall, period, period, TimeUnit.NANOSECONDS);
	}

	private void checkStall() {
		if (this.finished || System.nanoTime() - this.progressNanos < this.idleNanos) {
			return;
		}
		Attempt attempt = this.passed;
		boolean callerIsSlow = this.body.isAwaiting() || (attempt != null && !this.channel.isWritable());
		if (callerIsSlow || this.responseReceived) {
			leave();
			abort();
		}
		else if (attempt != null) {
			attempt.fail(FailureKind.LOST_IN_BODY);
		}
	}

	private void callerClosed() {
		if (this.finished || this.detached) {
			return;
		}
		this.detached = true;
		Runnable report = this.reportEnd;
		if (report != null && this.responseReceived) {
			// The server answered completely, which is worth more than an unknown
			// outcome.
			report.run();
		}
		reportGone();
		if (!this.body.isComplete()) {
			// The server waits for bytes that will never come.
			List.copyOf(this.attempts).forEach((attempt) -> attempt.fail(FailureKind.TIMED_OUT));
		}
		finishIfDetached();
	}

	// After the caller has left, the logic lets an attempt with an idempotency key go on
	// until it is known whether it ran.
	private void finishIfDetached() {
		if (this.detached && this.attempts.stream().allMatch(Attempt::isClosed)) {
			finish();
		}
	}

	// Tells the logic that nobody waits for the answer any more, and ends the attempts
	// that it would let go on, since they cannot send or pass on the rest.
	private void leave() {
		reportGone();
		for (Attempt attempt : List.copyOf(this.attempts)) {
			if (attempt == this.passed) {
				attempt.cancel();
			}
			else {
				attempt.fail(FailureKind.TIMED_OUT);
			}
		}
	}

	private void reportGone() {
		if (this.gone) {
			return;
		}
		this.gone = true;
		if (!this.reset) {
			this.context.metrics().callerGone();
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
		this.attempts.forEach(Attempt::cancel);
		this.body.dispose();
		this.context.engine().close(this.id);
		this.drained.tryEmitEmpty();
		this.answer.tryEmitEmpty();
	}

}
