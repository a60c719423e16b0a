package org.lovagevale.gateway.http;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.LogLine;
import org.lovagevale.base.ServerName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.catalog.RequestKind;
import org.lovagevale.core.placing.AttemptPolicy;
import org.lovagevale.core.placing.NextStep;
import org.lovagevale.core.placing.RefusalCause;
import org.lovagevale.core.placing.SendPurpose;
import org.lovagevale.core.placing.ServerLoad;
import org.lovagevale.core.placing.SlotId;
import org.lovagevale.core.placing.SlotOutcome;
import org.lovagevale.core.placing.SlotRelease;
import org.lovagevale.core.placing.SlotRequest;
import org.lovagevale.gateway.fleet.SlotGrant;
import org.lovagevale.gateway.fleet.SlotListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One request of a caller, from its head to the end of its response.
 *
 * <p>
 * Invariants: the caller gets one response at most; a slot is given back exactly once; a
 * rejection that says "not run" is sent only if no server can have run the request.
 * Confined to the event loop.
 */
final class Exchange implements SlotListener {

	/**
	 * Responses up to this size are passed on whole, so that one that breaks off can be
	 * replaced, in bytes.
	 */
	private static final int HELD_BYTES = 16_384;

	/** A response that pauses for this long is passed on as far as it is, in ms. */
	private static final long HELD_MS = 30;

	/** The server answers at the timeout itself; it gets this long to do so, in ms. */
	private static final long TIMEOUT_SLACK_MS = 40;

	/** Idempotent requests may use connections that were idle for this long, in ms. */
	private static final long IDLE_REPEATABLE_MS = 8_000;

	/** Others need a connection that the server has hardly forgotten, in milliseconds. */
	private static final long IDLE_ONCE_MS = 2_000;

	private static final int SHORT_RETRY_MS = 200;

	private static final int NOT_RUN = 503;

	private static final int FAILED = 502;

	private static final int TIMED_OUT = 504;

	private static final int TOO_LARGE = 413;

	private static final Logger LOGGER = LoggerFactory.getLogger(Exchange.class);

	private final ExchangeServices services;

	private final CallerLink caller;

	private final CallerRequest request;

	private final AttemptPolicy policy;

	private final RequestContent content = new RequestContent();

	private final Set<ServerName> tried = new HashSet<>();

	private final RelayAttempts relays = new RelayAttempts();

	private @Nullable ScheduledFuture<?> timeout;

	private @Nullable SlotId question;

	private @Nullable ServerSend send;

	private @Nullable String lastTrouble;

	/** Whether the request was at a server when its time ran out. */
	private boolean unanswered;

	private boolean answering;

	private boolean done;

	private long askedAt;

	Exchange(ExchangeServices services, CallerLink caller, CallerRequest request) {
		this.services = services;
		this.caller = caller;
		this.request = request;
		this.policy = new AttemptPolicy(request.route().kind(), request.route().maxAttempts());
		HttpRequest head = request.head();
		this.content
			.hash(head.method() + " " + head.headers().get(HttpHeaderNames.HOST) + head.uri() + " " + request.caller());
	}

	void begin() {
		long left = this.request.timeoutAt() - now() + TIMEOUT_SLACK_MS;
		this.timeout = this.services.loop().schedule(this::timedOut, left, TimeUnit.MILLISECONDS);
	}

	private long now() {
		return this.services.clock().millis();
	}

	private boolean isRepeatable() {
		return this.request.route().kind().isRepeatable();
	}

	boolean isDone() {
		return this.done;
	}

	boolean isBodyComplete() {
		return this.content.isComplete();
	}

	/**
	 * Takes a part of the request's body.
	 * @param part the part; it is released by this object
	 */
	void body(HttpContent part) {
		if (this.done) {
			part.release();
			return;
		}
		int before = this.content.parts().size();
		this.content.add(part);
		if (this.content.size() > this.request.limits().maxBodyBytes()) {
			answerOwn(TOO_LARGE, "body-too-large", 0);
			return;
		}
		ServerSend current = this.send;
		BackendConnection connection = (current != null) ? current.connection() : null;
		if (connection != null) {
			writeFrom(connection, before);
		}
		else if (this.question == null && current == null && isBodyReady()) {
			place();
		}
		else if (this.content.size() > RequestContent.KEPT_BYTES) {
			this.caller.setReading(false);
		}
	}

	private boolean isBodyReady() {
		return this.content.isComplete() || this.content.size() > RequestContent.BUFFERED_BYTES;
	}

	private void place() {
		if (!this.services.relay().isAway(this.request) || !relay()) {
			ask();
		}
	}

	private boolean relay() {
		BackendInstance entry = this.relays.isExhausted() ? null
				: this.services.relay().find(this.request, this.relays.regions());
		if (entry == null) {
			return false;
		}
		this.relays.began(entry.region());
		ServerSend next = new ServerSend(this, null, entry, now());
		this.send = next;
		this.services.connections().acquire(entry, IDLE_REPEATABLE_MS, next);
		return true;
	}

	// Servers of other regions are placed on from here only if nobody there does it.
	private boolean isLocalOnly() {
		return this.request.relayed() || !this.services.relay().isAway(this.request)
				&& (this.relays.isRejected() || this.services.relay().isPossible(this.request));
	}

	private void ask() {
		long now = now();
		SlotId id = this.services.slots().nextId();
		this.question = id;
		this.askedAt = now;
		int work = this.services.estimates().of(this.request.route()).millis();
		this.services.slots()
			.requestSlot(new SlotRequest(id, this.request.service(), this.services.settings().domain(),
					this.request.route().homeRegions(), isLocalOnly(), this.request.route().priority(),
					this.request.route().kind() == RequestKind.DOWNLOAD,
					(this.policy.sends() == 0) ? SendPurpose.FIRST : SendPurpose.RETRY, work,
					(int) (this.request.targetAt() - now), (int) (this.request.timeoutAt() - now), this.tried,
					this.content.fingerprint()), this);
	}

	@Override
	public void granted(SlotGrant grant) {
		this.question = null;
		this.services.metrics().recordSlotWait(this.request.service().value(), now() - this.askedAt);
		if (this.done) {
			release(grant, SlotOutcome.UNUSED, ServerLoad.UNKNOWN, 0);
			return;
		}
		BackendInstance server = this.services.catalog().server(grant.server());
		if (server == null || server.draining()) {
			this.tried.add(grant.server());
			release(grant, SlotOutcome.UNUSED, ServerLoad.UNKNOWN, 0);
			next(SlotOutcome.UNUSED, "server " + grant.server() + " is not listed here");
			return;
		}
		ServerSend next = new ServerSend(this, grant, server, now());
		this.send = next;
		long idle = isRepeatable() ? IDLE_REPEATABLE_MS : IDLE_ONCE_MS;
		this.services.connections().acquire(server, idle, next);
	}

	@Override
	public void refused(RefusalCause cause, int retryAfterMs) {
		this.question = null;
		this.services.metrics().countRefusal(this.request.service().value(), cause.name());
		if (!this.done) {
			String trouble = this.lastTrouble;
			String reason = cause + ", retry after " + retryAfterMs + " ms";
			if (mayOverflow(cause)) {
				this.relays.rejected(retryAfterMs);
				this.lastTrouble = reason;
				if (relay()) {
					return;
				}
			}
			finishRefused((trouble != null) ? reason + ", after " + trouble : reason, retryAfterMs);
		}
	}

	private boolean mayOverflow(RefusalCause cause) {
		boolean full = cause == RefusalCause.NO_SERVER
				|| cause == RefusalCause.OVERLOAD && this.request.route().kind() != RequestKind.DOWNLOAD;
		return full && this.policy.sends() == 0 && !this.services.relay().isAway(this.request)
				&& this.content.isReplayable();
	}

	private void finishRefused(String reason, int retryAfterMs) {
		if (this.policy.mayHaveRun()) {
			answerOwn(FAILED, reason, 0);
		}
		else {
			answerOwn(NOT_RUN, reason, retryAfterMs);
		}
	}

	void connected(ServerSend current, BackendConnection connection) {
		long left = this.request.timeoutAt() - now();
		if (left <= 0) {
			connection.channel().close();
			endSend(current, SlotOutcome.UNUSED, ServerLoad.UNKNOWN);
			next(SlotOutcome.UNUSED, "no time left when the connection was open");
			return;
		}
		SlotGrant grant = current.grant();
		if (grant != null) {
			this.policy.recordSend();
			this.tried.add(current.server().id());
		}
		// Rejections by another entry VM do not repeat the identity.
		connection.begin(current, head(current, left), (grant != null) ? this.request.id() : "");
		logSent(current, grant, left);
		writeFrom(connection, 0);
	}

	private void logSent(ServerSend current, @Nullable SlotGrant grant, long leftMs) {
		if (!LOGGER.isInfoEnabled()) {
			return;
		}
		LogLine line = LogLine.event((grant != null) ? "request.sent" : "request.relayed")
			.with("id", this.request.id())
			.with("send", this.policy.sends())
			.with("server", current.server().id());
		if (grant != null) {
			line = line.with("dispatcher", grant.dispatcher()).with("slotMs", current.startedAt() - this.askedAt);
		}
		line = line.with("connectMs", now() - current.startedAt())
			.with("leftMs", leftMs)
			.with("catalogAgeMs", this.services.catalog().ageMs());
		LOGGER.info("{}", (grant != null) ? line.with("why", grant.why()) : line);
	}

	private HttpRequest head(ServerSend current, long leftMs) {
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
		if (current.isRelay()) {
			this.services.protocol().setRelayHeaders(headers, leftMs, this.request.caller());
		}
		else {
			this.services.protocol().setServerHeaders(headers, leftMs, current.server().id());
		}
		return new DefaultHttpRequest(HttpVersion.HTTP_1_1, received.method(), received.uri(), headers);
	}

	private void writeFrom(BackendConnection connection, int first) {
		List<ByteBuf> parts = this.content.parts();
		for (int i = first; i < parts.size(); i++) {
			connection.write(new DefaultHttpContent(parts.get(i).retainedDuplicate()));
		}
		if (this.content.isComplete()) {
			connection.write(LastHttpContent.EMPTY_LAST_CONTENT);
		}
		this.content.trimSent();
		this.caller.setReading(this.content.isComplete() || connection.channel().isWritable());
	}

	void serverWritable() {
		if (!this.done) {
			this.caller.setReading(true);
		}
	}

	void unreachable(ServerSend current, String reason) {
		if (current.isRelay()) {
			this.relays.unreachable(current.server().region());
			endSend(current, SlotOutcome.UNREACHABLE, ServerLoad.UNKNOWN);
			this.lastTrouble = reason;
			if (!relay()) {
				ask();
			}
			return;
		}
		this.tried.add(current.server().id());
		endSend(current, SlotOutcome.UNREACHABLE, ServerLoad.UNKNOWN);
		next(SlotOutcome.UNREACHABLE, reason);
	}

	void contentArrived(ServerSend current, HttpContent part) {
		if (this.done) {
			part.release();
			return;
		}
		if (this.answering) {
			this.caller.write(part);
			return;
		}
		long held = current.hold(part);
		if (held > HELD_BYTES && verdict(current) == SlotOutcome.SERVED) {
			startAnswer(current, false);
		}
	}

	void responsePaused(ServerSend current) {
		if (this.answering) {
			BackendConnection connection = current.connection();
			if (connection != null && !this.caller.isWritable()) {
				connection.setReading(false);
			}
			return;
		}
		this.services.loop().schedule(() -> {
			if (!this.done && !this.answering && this.send == current && current.response() != null
					&& verdict(current) == SlotOutcome.SERVED) {
				startAnswer(current, false);
			}
		}, HELD_MS, TimeUnit.MILLISECONDS);
	}

	void callerWritable() {
		ServerSend current = this.send;
		BackendConnection connection = (current != null) ? current.connection() : null;
		if (connection != null) {
			connection.setReading(true);
		}
	}

	/**
	 * Judges a response by its head.
	 * @param current the send that brought it
	 * @return the outcome
	 */
	private SlotOutcome verdict(ServerSend current) {
		HttpResponse response = current.response();
		if (response == null) {
			return SlotOutcome.LOST;
		}
		int status = response.status().code();
		HttpHeaders headers = response.headers();
		if (current.isRelay() && !this.services.protocol().isSigned(headers)) {
			return RelayAttempts.outcomeOf(status);
		}
		if (this.services.protocol().isReplaced(status)) {
			return SlotOutcome.REPLACED;
		}
		if (this.services.protocol().isNotExecuted(status, headers)) {
			return SlotOutcome.NOT_EXECUTED;
		}
		boolean error = response.status().codeClass() == HttpStatusClass.SERVER_ERROR;
		return (isGenuine(response) && !error) ? SlotOutcome.SERVED : SlotOutcome.FAILED;
	}

	// A response with an encoding that nobody asked for is not what the server made.
	private boolean isGenuine(HttpResponse response) {
		return this.services.protocol().isSigned(response.headers())
				&& !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
	}

	private void startAnswer(ServerSend current, boolean complete) {
		HttpResponse response = current.response();
		if (response == null) {
			throw new IllegalStateException("no response to pass on");
		}
		this.answering = true;
		HttpHeaders headers = HopByHopHeaders.copyWithout(response.headers(), (name) -> false);
		List<HttpContent> held = current.takeHeld();
		if (complete && !isHead() && !HttpUtil.isContentLengthSet(response)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH,
					held.stream().mapToLong((part) -> part.content().readableBytes()).sum());
		}
		this.caller.start(new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers));
		held.forEach(this.caller::write);
	}

	private boolean isHead() {
		return this.request.head().method().name().equals("HEAD");
	}

	void responseEnded(ServerSend current) {
		SlotOutcome outcome = verdict(current);
		HttpResponse response = current.response();
		ServerLoad load = (response != null) ? this.services.protocol().load(response.headers()) : ServerLoad.UNKNOWN;
		endSend(current, outcome, load);
		if (this.done) {
			current.releaseHeld();
			return;
		}
		if (this.answering) {
			finish(current);
			return;
		}
		if (outcome == SlotOutcome.SERVED) {
			if (!current.isRelay()) {
				this.services.estimates().of(this.request.route()).recordDuration(now() - current.startedAt());
			}
			startAnswer(current, true);
			finish(current);
			return;
		}
		if (current.isRelay() && response != null) {
			relayEnded(current, outcome, response);
			return;
		}
		NextStep step = this.policy.nextStep(outcome, this.content.isReplayable(), this.request.timeoutAt() - now());
		String reason = "status " + ((response != null) ? response.status().code() : 0) + " of "
				+ current.server().id();
		if (step != NextStep.SEND_AGAIN && outcome == SlotOutcome.FAILED && response != null && isGenuine(response)) {
			startAnswer(current, true);
			finish(current);
			return;
		}
		current.releaseHeld();
		follow(step, reason);
	}

	// Another entry VM has already made the further sends that are allowed.
	private void relayEnded(ServerSend current, SlotOutcome outcome, HttpResponse response) {
		String reason = "status " + response.status().code() + " of entry VM " + current.server().id();
		if (outcome == SlotOutcome.FAILED) {
			this.policy.nextStep(outcome, false, 0);
			if (isGenuine(response)) {
				startAnswer(current, true);
				finish(current);
				return;
			}
			current.releaseHeld();
			answerOwn((response.status().code() == TIMED_OUT) ? TIMED_OUT : FAILED, reason, 0);
			return;
		}
		current.releaseHeld();
		this.relays.rejected(this.services.protocol().retryAfterMs(response.headers()));
		this.services.relay().rejected(current.server().region());
		this.lastTrouble = reason;
		if (!this.content.isReplayable() || !relay()) {
			answerOwn(NOT_RUN, reason, this.relays.retryAfterMs(SHORT_RETRY_MS));
		}
	}

	private void finish(ServerSend current) {
		HttpResponse response = current.response();
		int status = (response != null) ? response.status().code() : 0;
		this.caller.finish();
		conclude(status, "server", "server=" + current.server().id());
	}

	void connectionLost(ServerSend current, String reason) {
		endSend(current, SlotOutcome.LOST, ServerLoad.UNKNOWN);
		current.releaseHeld();
		if (this.done) {
			return;
		}
		if (current.isRelay() && !this.answering) {
			this.policy.nextStep(SlotOutcome.LOST, false, 0);
			answerOwn(FAILED, reason, 0);
			return;
		}
		if (this.answering) {
			this.caller.abort(reason);
			conclude(0, "entry", "response broken off: " + reason);
			return;
		}
		next(SlotOutcome.LOST, reason);
	}

	private void next(SlotOutcome outcome, String reason) {
		follow(this.policy.nextStep(outcome, this.content.isReplayable(), this.request.timeoutAt() - now()), reason);
	}

	private void follow(NextStep step, String reason) {
		this.lastTrouble = reason;
		switch (step) {
			case SEND_AGAIN -> place();
			case ANSWER_NOT_RUN -> answerOwn(NOT_RUN, reason, SHORT_RETRY_MS);
			case ANSWER_FAILED -> answerOwn(FAILED, reason, 0);
		}
	}

	private void timedOut() {
		if (this.done || this.answering) {
			return;
		}
		ServerSend pending = this.send;
		this.unanswered = pending != null && pending.connection() != null;
		boolean sent = this.unanswered || this.policy.mayHaveRun();
		stopServer(isRepeatable());
		if (sent) {
			answerOwn(TIMED_OUT, "timeout of " + this.request.route().timeoutMs() + " ms", 0);
		}
		else {
			answerOwn(NOT_RUN, "no server within the timeout", SHORT_RETRY_MS);
		}
	}

	/**
	 * Notes that the caller closed its connection.
	 */
	void callerGone() {
		if (!this.done) {
			stopServer(isRepeatable());
			conclude(0, "caller", "caller closed its connection");
		}
	}

	private void stopServer(boolean cancel) {
		SlotId asked = this.question;
		if (asked != null) {
			this.services.slots().cancel(asked);
			this.question = null;
		}
		ServerSend current = this.send;
		if (current == null) {
			return;
		}
		// A request that must not repeat runs to its end, unless it is not whole.
		if (cancel || current.connection() == null || !this.content.isComplete()) {
			current.cancel();
			endSend(current, SlotOutcome.ABANDONED, ServerLoad.UNKNOWN);
		}
	}

	private void answerOwn(int status, String reason, int retryAfterMs) {
		if (this.done) {
			return;
		}
		if (status == TOO_LARGE) {
			stopServer(true);
		}
		HttpHeaders headers = new DefaultHttpHeaders();
		if (status == NOT_RUN) {
			this.services.protocol().setRetryAfter(headers, Math.max(SHORT_RETRY_MS / 2, retryAfterMs));
		}
		this.caller.reply(status, reason, headers);
		conclude(status, "entry", reason);
	}

	private void endSend(ServerSend current, SlotOutcome outcome, ServerLoad load) {
		if (this.send == current) {
			this.send = null;
		}
		SlotGrant grant = current.grant();
		if (grant != null) {
			this.services.metrics().countSend(this.request.service().value(), outcome.name());
			release(grant, outcome, load, (int) (now() - current.startedAt()));
			return;
		}
		this.services.metrics().countRelay(this.request.service().value(), outcome.name());
		switch (outcome) {
			case UNREACHABLE, LOST -> this.services.relay().failed(current.server());
			case ABANDONED, UNUSED -> {
			}
			default -> this.services.relay().responded(current.server());
		}
	}

	private void release(SlotGrant grant, SlotOutcome outcome, ServerLoad load, int tookMs) {
		this.services.slots()
			.release(grant, new SlotRelease(grant.request().id(), grant.server(), outcome, tookMs,
					grant.request().workMs(), load, this.content.fingerprint()));
	}

	private void conclude(int status, String origin, String why) {
		this.done = true;
		ScheduledFuture<?> timer = this.timeout;
		if (timer != null) {
			timer.cancel(false);
		}
		this.content.release();
		long took = now() - this.request.arrivedAt();
		this.services.metrics().countAnswer(this.request.route().name(), status, origin, took);
		if (LOGGER.isInfoEnabled()) {
			LOGGER.info("{}",
					LogLine.event("request.done")
						.with("id", this.request.id())
						.with("route", this.request.route().name())
						.with("service", this.request.service())
						.with("status", status)
						.with("origin", origin)
						.with("sends", this.policy.sends())
						.with("mayHaveRun", this.policy.mayHaveRun() || this.unanswered)
						.with("tookMs", took)
						.with("version", this.request.version())
						.with("catalogAgeMs", this.services.catalog().ageMs())
						.with("why", why));
		}
	}

}
