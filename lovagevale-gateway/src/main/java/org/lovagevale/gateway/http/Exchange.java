package org.lovagevale.gateway.http;

import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.LogLine;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.limit.LimitDecision;
import org.lovagevale.core.placing.AttemptPolicy;
import org.lovagevale.core.placing.HedgeCandidate;
import org.lovagevale.core.placing.NextStep;
import org.lovagevale.core.placing.ServerLoad;
import org.lovagevale.core.placing.SlotOutcome;
import org.lovagevale.core.response.LateResponseCause;
import org.lovagevale.core.response.LateResponseStep.AwaitMore;
import org.lovagevale.core.response.LateResponseStep.EndResponse;
import org.lovagevale.core.response.ResponseTimer;
import org.lovagevale.gateway.fleet.SlotGrant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles one request of a caller, from its head to the end of its response: decides what
 * follows each event of its phases, which are {@link RequestPlacing},
 * {@link RequestSending} and {@link ResponseDelivery}.
 *
 * <p>
 * Invariants: the caller gets at most one response; each slot is released exactly once; a
 * rejection that states that the request was not run is sent only if no server can have
 * run it. Confined to the event loop.
 */
final class Exchange implements PlacingListener {

	/**
	 * Time in milliseconds that the exchange waits beyond the timeout of the request, so
	 * that a response which the server sends when the timeout expires still arrives.
	 */
	static final long TIMEOUT_SLACK_MS = 40;

	/**
	 * Maximum size of a response, in bytes, that is buffered until it is complete, so
	 * that the request can be sent again if the connection is lost.
	 */
	private static final int MAX_BUFFERED_RESPONSE_BYTES = 16_384;

	/**
	 * Time after the first read at which the buffered part of an incomplete response is
	 * passed on, in milliseconds.
	 */
	private static final long RESPONSE_BUFFER_DELAY_MS = 30;

	/**
	 * Maximum idle time of a connection that is reused for an idempotent request, in
	 * milliseconds.
	 */
	private static final long REPEATABLE_MAX_IDLE_MS = 8_000;

	/**
	 * Maximum idle time of a connection that is reused for any other request, in
	 * milliseconds. It is shorter because the server is then less likely to have closed
	 * the connection.
	 */
	private static final long NON_REPEATABLE_MAX_IDLE_MS = 2_000;

	/**
	 * Retry delay stated to the caller if none is known, in milliseconds. Half of it is
	 * the minimum.
	 */
	private static final int DEFAULT_RETRY_AFTER_MS = 200;

	/**
	 * Time after its timeout for which the response to a request without a caller is
	 * awaited, in milliseconds. After it the server is taken for silent.
	 */
	private static final long UNATTENDED_RESPONSE_MS = 500;

	/**
	 * Time without a response after which a server counts as silent, as a multiple of the
	 * usual processing time.
	 */
	private static final int MIN_SILENCE_FACTOR = 4;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	private static final int REQUEST_TIMEOUT = 408;

	private static final int CONTENT_TOO_LARGE = 413;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final Logger LOGGER = LoggerFactory.getLogger(Exchange.class);

	private final ExchangeServices services;

	private final CallerRequest request;

	private final AttemptPolicy policy;

	private final RequestContent content = new RequestContent();

	private final RequestPlacing placing;

	private final RequestSending sending;

	private final ResponseDelivery delivery;

	private final ResponseClassifier classifier;

	private @Nullable ScheduledFuture<?> timeoutTimer;

	private @Nullable SendAttempt attempt;

	/** The current attempt and the second one, while both are in progress. */
	private @Nullable HedgedAttempts hedge;

	/** The attempt whose response is passed on after a delay. */
	private @Nullable SendAttempt delayedAttempt;

	/** Whether the request was at a server when its timeout expired. */
	private boolean timedOutAtServer;

	private boolean done;

	Exchange(ExchangeServices services, CallerConnection caller, CallerRequest request) {
		this.services = services;
		this.request = request;
		this.policy = new AttemptPolicy(request.route().kind(), request.route().maxAttempts());
		HttpRequest head = request.head();
		if (request.relayed()) {
			this.policy.recordSendsByOthers(services.protocol().earlierSends(head.headers()));
		}
		this.content.updateHash(
				head.method() + " " + head.headers().get(HttpHeaderNames.HOST) + head.uri() + " " + request.caller());
		this.placing = new RequestPlacing(services, request, this.policy, this.content, this);
		this.sending = new RequestSending(services, caller, request, this.content);
		this.delivery = new ResponseDelivery(services.clock(), caller, head.method().name().equals("HEAD"),
				new ResponseTimer(request.timeoutAt(), request.callerWaitsUntil()));
		this.classifier = new ResponseClassifier(services.protocol());
	}

	void begin() {
		long leftMs = this.request.timeoutAt() - now() + TIMEOUT_SLACK_MS;
		this.timeoutTimer = this.services.loop().schedule(this::timedOut, leftMs, TimeUnit.MILLISECONDS);
		this.request.limitDecision().onDecided(this::limitDecided);
	}

	private void limitDecided() {
		LimitDecision decision = this.request.limitDecision();
		if (this.done) {
			decision.returnToken();
		}
		else if (decision.isRefused()) {
			this.services.metrics().countDenial(String.valueOf(this.request.account()), DenialCause.RATE_LIMIT.name());
			respondLocally(TOO_MANY_REQUESTS, DenialCause.RATE_LIMIT.reason(), (int) decision.retryAfterMs());
		}
		else if (this.sending.isBodyReady()) {
			this.placing.place();
		}
	}

	private long now() {
		return this.services.clock().millis();
	}

	private boolean isRepeatable() {
		return this.request.route().kind().isRepeatable();
	}

	@Override
	public boolean isDone() {
		return this.done;
	}

	@Override
	public boolean hasAttempt() {
		return this.attempt != null;
	}

	String requestId() {
		return this.request.id();
	}

	int sends() {
		return this.policy.sends();
	}

	/**
	 * Returns how far the request has come before its response.
	 * @return {@code SENT} if a server or another entry VM has a part of it, otherwise
	 * {@code WAITING}
	 */
	RequestProgress progress() {
		return (connection() != null) ? RequestProgress.SENT : RequestProgress.WAITING;
	}

	private @Nullable BackendConnection connection() {
		SendAttempt current = this.attempt;
		return (current != null) ? current.connection() : null;
	}

	boolean isBodyComplete() {
		return this.content.isComplete();
	}

	/**
	 * Handles a part of the request body.
	 * @param part the part; the exchange releases it
	 */
	void bodyReceived(HttpContent part) {
		if (this.done) {
			part.release();
			return;
		}
		this.sending.add(part);
		if (this.content.size() > this.request.limits().maxBodyBytes()) {
			requestFailed(CONTENT_TOO_LARGE, "body-too-large");
			return;
		}
		if (connection() != null) {
			this.sending.scheduleSend();
		}
		else if (!this.placing.isSlotPending() && this.attempt == null && this.sending.isBodyReady()
				&& this.request.limitDecision().isAdmitted()) {
			this.placing.place();
		}
		else {
			this.sending.pauseIfTooLarge();
		}
	}

	/**
	 * Tells whether the next bytes of the body were accounted for when the request was
	 * accepted.
	 * @return {@code true} if they may be read although the process is full
	 */
	boolean isNextContentReserved() {
		return this.sending.isNextContentReserved();
	}

	@Override
	public void placed(@Nullable SlotGrant grant, BackendInstance server) {
		SendAttempt newAttempt = new SendAttempt(this, grant, server, this.services.responseMemory(), now());
		this.attempt = newAttempt;
		long maxIdleMs = isRepeatable() ? REPEATABLE_MAX_IDLE_MS : NON_REPEATABLE_MAX_IDLE_MS;
		if (grant != null) {
			this.services.connectionPool().acquire(server, maxIdleMs, newAttempt);
		}
		else {
			this.services.connectionPool().acquireEntryVm(server, maxIdleMs, newAttempt);
		}
	}

	@Override
	public boolean hedgeOffered(SlotGrant grant, BackendInstance server) {
		SendAttempt first = this.attempt;
		if (this.done || this.hedge != null || first == null || first.isRelay() || first.connection() == null
				|| first.response() != null || !isHedgeable(first)) {
			return false;
		}
		SendAttempt second = new SendAttempt(this, grant, server, this.services.responseMemory(), now());
		this.hedge = new HedgedAttempts(this.services.metrics(), this.request, first, second);
		this.services.connectionPool().acquire(server, REPEATABLE_MAX_IDLE_MS, second);
		return true;
	}

	private boolean isHedgeable(SendAttempt first) {
		boolean resendable = this.content.isComplete() && this.content.isReplayable();
		long now = now();
		return new HedgeCandidate(isRepeatable(), resendable, this.policy.totalSends(), 1,
				this.request.route().maxAttempts(), now - first.startedAt(), this.request.timeoutAt() - now)
			.isHedgeable();
	}

	@Override
	public void serverUnusable(String reason) {
		attemptFailed(SlotOutcome.UNUSED, reason);
	}

	@Override
	public void notPlaced(String reason, int retryAfterMs) {
		if (this.policy.mayHaveRun()) {
			respondLocally(BAD_GATEWAY, reason, 0);
		}
		else {
			respondLocally(SERVICE_UNAVAILABLE, reason, retryAfterMs);
		}
	}

	/**
	 * Rejects the request if it is not at a server or another entry VM and could not be
	 * completed before a planned stop of this process ends.
	 */
	void rejectIfUnfinishable() {
		if (!this.done && this.attempt == null && !this.placing.isFinishable()) {
			stopping();
		}
	}

	// Another entry VM can take the request at once; without one, the caller has to wait
	// until this process has been replaced.
	@Override
	public void stopping() {
		cancelPending(true);
		boolean elsewhere = !this.services.roster().serving().isEmpty() || this.services.relay().hasContacts();
		int retryAfterMs = elsewhere ? 0 : (int) this.services.plannedStop().timeLeftMs(now());
		notPlaced("this process is stopping", retryAfterMs);
	}

	/**
	 * Ends the exchange because the rest of the request cannot be read. A status that
	 * states that the request was not run is replaced if a server has a part of it.
	 * @param status the HTTP status of the response, unless one was begun
	 * @param reason the reason, sent in the response body
	 */
	void requestFailed(int status, String reason) {
		if (this.done) {
			return;
		}
		boolean mayHaveRun = this.policy.mayHaveRun() || connection() != null;
		cancelPending(true);
		if (this.delivery.isStarted()) {
			this.delivery.abort(reason);
			complete(0, "caller", reason);
			return;
		}
		// Another entry VM takes 400 and 413 for a statement that it was not run, too.
		boolean promise = status == REQUEST_TIMEOUT || this.request.relayed();
		respondLocally((mayHaveRun && promise) ? GATEWAY_TIMEOUT : status, reason, 0);
	}

	void connected(SendAttempt current, BackendConnection connection) {
		long leftMs = this.request.timeoutAt() - now();
		SlotGrant grant = current.grant();
		boolean available = grant == null || this.services.announcements().isAvailable(current.server());
		if (leftMs <= 0 || !available) {
			connection.channel().close();
			endAttempt(current, SlotOutcome.UNUSED, ServerLoad.UNKNOWN);
			if (isOtherInProgress(current, SlotOutcome.UNUSED)) {
				return;
			}
			attemptFailed(SlotOutcome.UNUSED, available ? "no time left when the connection was open"
					: "server " + current.server().id() + " is leaving or paused");
			return;
		}
		if (grant != null) {
			this.policy.recordSend();
			this.placing.recordTried(current.server().id());
		}
		HedgedAttempts pair = this.hedge;
		if (pair != null) {
			pair.recordSent(now());
		}
		else {
			logAttempt(current, grant, leftMs);
		}
		this.sending.begin(current, connection, leftMs, this.policy.totalSends());
	}

	private void logAttempt(SendAttempt current, @Nullable SlotGrant grant, long leftMs) {
		if (!LOGGER.isInfoEnabled()) {
			return;
		}
		LogLine line = LogLine.event((grant != null) ? "request.sent" : "request.relayed")
			.with("id", this.request.id())
			.with("send", this.policy.sends())
			.with("server", current.server().id());
		if (grant != null) {
			line = line.with("dispatcher", grant.dispatcher())
				.with("slotMs", current.startedAt() - this.placing.slotRequestedAt());
		}
		line = line.with("connectMs", now() - current.startedAt())
			.with("leftMs", leftMs)
			.with("catalogAgeMs", this.services.catalog().ageMs());
		LOGGER.info("{}", (grant != null) ? line.with("why", grant.why()) : line);
	}

	void serverWritable() {
		this.sending.serverWritable();
	}

	void unreachable(SendAttempt current, String reason) {
		endAttempt(current, SlotOutcome.UNREACHABLE, ServerLoad.UNKNOWN);
		if (current.isRelay()) {
			this.placing.relayUnreachable(current.server().region(), reason);
			return;
		}
		this.placing.recordTried(current.server().id());
		if (!isOtherInProgress(current, SlotOutcome.UNREACHABLE)) {
			attemptFailed(SlotOutcome.UNREACHABLE, reason);
		}
	}

	void contentReceived(SendAttempt current, HttpContent part) {
		if (this.done) {
			if (current.discard(part) > MAX_BUFFERED_RESPONSE_BYTES) {
				abandon(current);
			}
			return;
		}
		this.delivery.recordContent();
		if (current.buffer(part) > MAX_BUFFERED_RESPONSE_BYTES) {
			if (this.delivery.isStarted()) {
				this.delivery.passOnReceived(current);
			}
			else {
				bufferExceeded(current);
			}
		}
	}

	// A body that is not passed on is not read to its end, since it may have none.
	private void bufferExceeded(SendAttempt current) {
		SlotOutcome outcome = this.classifier.classify(current);
		if (outcome == SlotOutcome.SERVED || this.hedge == null && isDeliverableFailure(current, outcome)) {
			selectResponse(current);
			this.delivery.start(current, false);
			return;
		}
		current.cancel();
		responseEnded(current);
	}

	private boolean isDeliverableFailure(SendAttempt current, SlotOutcome outcome) {
		HttpResponse response = current.response();
		return outcome == SlotOutcome.FAILED && response != null && this.classifier.mayPassOn(response);
	}

	/**
	 * Cancels the other attempt of a hedged request.
	 * @param winner the attempt whose response is passed on
	 */
	private void selectResponse(SendAttempt winner) {
		HedgedAttempts pair = this.hedge;
		if (pair != null) {
			this.hedge = null;
			this.attempt = winner;
			this.sending.attemptEnded(winner.connection());
			pair.recordWinner(winner, now());
			abandon(pair.otherThan(winner));
		}
	}

	/**
	 * Tells whether the other attempt of a hedged request goes on after one has failed.
	 * @param failed the failed attempt, which has ended
	 * @param outcome its outcome
	 * @return {@code true} if its response is awaited
	 */
	private boolean isOtherInProgress(SendAttempt failed, SlotOutcome outcome) {
		if (this.attempt == null) {
			return false;
		}
		failed.releaseBuffered();
		// Called only to record that the request may have run.
		this.policy.nextStep(outcome, false, 0);
		return true;
	}

	private boolean isInProgress(SendAttempt candidate) {
		HedgedAttempts pair = this.hedge;
		return this.attempt == candidate || pair != null && pair.contains(candidate);
	}

	private void abandon(SendAttempt current) {
		if (!current.isEnded()) {
			boolean failed = isSilent(current) || isOverdue(current);
			current.cancel();
			endAttempt(current, failed ? SlotOutcome.FAILED : SlotOutcome.ABANDONED, ServerLoad.UNKNOWN);
		}
	}

	// With less time, the response of a sound server may have been on the way.
	private boolean isSilent(SendAttempt current) {
		SlotGrant grant = current.grant();
		return grant != null && current.connection() != null && current.response() == null
				&& now() - current.startedAt() >= (long) MIN_SILENCE_FACTOR * grant.request().workMs();
	}

	// Callers, and the entry VMs that relay for them, often leave before the response is
	// ended here.
	private boolean isOverdue(SendAttempt current) {
		return current.response() != null && this.delivery.isServerOverdue();
	}

	void responseReadComplete(SendAttempt current) {
		if (this.done) {
			return;
		}
		if (this.delivery.isStarted()) {
			this.delivery.passOnReceived(current);
			return;
		}
		current.accountBuffered();
		if (this.delayedAttempt == current) {
			return;
		}
		this.delayedAttempt = current;
		this.services.loop().schedule(() -> {
			if (!this.done && !this.delivery.isStarted() && isInProgress(current) && current.response() != null
					&& this.classifier.classify(current) == SlotOutcome.SERVED) {
				selectResponse(current);
				this.delivery.start(current, false);
				this.delivery.flush();
			}
		}, RESPONSE_BUFFER_DELAY_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Continues to read the response if that was paused and the caller has taken enough
	 * of it.
	 */
	void callerWritable() {
		this.delivery.callerWritable(connection());
	}

	void responseEnded(SendAttempt current) {
		SlotOutcome outcome = this.classifier.classify(current);
		HttpResponse response = current.response();
		ServerLoad load = (response != null) ? this.services.protocol().load(response.headers()) : ServerLoad.UNKNOWN;
		if (outcome == SlotOutcome.SERVED) {
			selectResponse(current);
		}
		endAttempt(current, outcome, load);
		if (outcome != SlotOutcome.SERVED) {
			logUnsuccessful(current, outcome);
		}
		if (this.done) {
			current.releaseBuffered();
			return;
		}
		if (this.delivery.isStarted()) {
			finish(current);
			return;
		}
		if (outcome == SlotOutcome.SERVED) {
			if (!current.isRelay()) {
				this.services.estimates().forRoute(this.request.route()).recordDuration(now() - current.startedAt());
			}
			this.delivery.start(current, true);
			finish(current);
			return;
		}
		if (isOtherInProgress(current, outcome)) {
			return;
		}
		if (current.isRelay() && response != null) {
			relayEnded(current, outcome, response);
			return;
		}
		NextStep step = this.policy.nextStep(outcome, this.content.isReplayable(), this.request.timeoutAt() - now());
		String reason = "status " + ((response != null) ? response.status().code() : 0) + " of "
				+ current.server().id();
		if (step != NextStep.SEND_AGAIN && isDeliverableFailure(current, outcome)) {
			this.delivery.start(current, true);
			finish(current);
			return;
		}
		current.releaseBuffered();
		apply(step, reason);
	}

	private void logUnsuccessful(SendAttempt current, SlotOutcome outcome) {
		if (!LOGGER.isInfoEnabled()) {
			return;
		}
		HttpResponse response = current.response();
		LogLine line = LogLine.event("request.unsuccessful")
			.with("id", this.request.id())
			.with("send", this.policy.sends())
			.with("server", current.server().id())
			.with("outcome", outcome)
			.with("status", (response != null) ? response.status().code() : 0);
		if (response != null) {
			line = line.with("signed", this.services.protocol().isSigned(response.headers()))
				.with("notExecuted",
						this.services.protocol().isNotExecuted(response.status().code(), response.headers()));
		}
		LOGGER.info("{}", line.with("tookMs", now() - current.startedAt()));
	}

	// The other entry VM has already made all attempts that are allowed, so the
	// request is not sent again after a failure.
	private void relayEnded(SendAttempt current, SlotOutcome outcome, HttpResponse response) {
		String reason = "status " + response.status().code() + " of entry VM " + current.server().id();
		if (outcome == SlotOutcome.FAILED) {
			// Called only to record that the request may have run.
			this.policy.nextStep(outcome, false, 0);
			if (isDeliverableFailure(current, outcome)) {
				this.delivery.start(current, true);
				finish(current);
				return;
			}
			current.releaseBuffered();
			respondLocally((response.status().code() == GATEWAY_TIMEOUT) ? GATEWAY_TIMEOUT : BAD_GATEWAY, reason, 0);
			return;
		}
		current.releaseBuffered();
		this.policy.recordSendsByOthers(this.services.protocol().earlierSends(response.headers()));
		long retryAfterMs = this.services.protocol().retryAfterMs(response.headers());
		if (!this.placing.relayRejected(current.server().region(), retryAfterMs, reason)) {
			respondLocally(SERVICE_UNAVAILABLE, reason, this.placing.relayRetryAfterMs(DEFAULT_RETRY_AFTER_MS));
		}
	}

	private void finish(SendAttempt current) {
		HttpResponse response = current.response();
		int status = (response != null) ? response.status().code() : 0;
		this.delivery.finish(current);
		complete(status, "server", "server=" + current.server().id());
	}

	void connectionLost(SendAttempt current, String reason) {
		endAttempt(current, SlotOutcome.LOST, ServerLoad.UNKNOWN);
		if (!this.done && this.delivery.isStarted()) {
			this.delivery.abortAfter(current, reason);
			complete(0, "entry", "response aborted: " + reason);
			return;
		}
		current.releaseBuffered();
		if (this.done || isOtherInProgress(current, SlotOutcome.LOST)) {
			return;
		}
		if (current.isRelay()) {
			// Called only to record that the request may have run.
			this.policy.nextStep(SlotOutcome.LOST, false, 0);
			respondLocally(BAD_GATEWAY, reason, 0);
			return;
		}
		attemptFailed(SlotOutcome.LOST, reason);
	}

	private void attemptFailed(SlotOutcome outcome, String reason) {
		apply(this.policy.nextStep(outcome, this.content.isReplayable(), this.request.timeoutAt() - now()), reason);
	}

	private void apply(NextStep step, String reason) {
		switch (step) {
			case SEND_AGAIN -> this.placing.placeAgain(reason);
			case ANSWER_NOT_RUN -> respondLocally(SERVICE_UNAVAILABLE, reason, DEFAULT_RETRY_AFTER_MS);
			case ANSWER_FAILED -> respondLocally(BAD_GATEWAY, reason, 0);
		}
	}

	private void timedOut() {
		if (this.done) {
			return;
		}
		if (this.delivery.isStarted()) {
			endIfOverdue();
			return;
		}
		this.timedOutAtServer = connection() != null;
		boolean sent = this.timedOutAtServer || this.policy.mayHaveRun();
		cancelPending(isRepeatable());
		if (sent) {
			respondLocally(GATEWAY_TIMEOUT, "timeout of " + this.request.route().timeoutMs() + " ms", 0);
		}
		else {
			respondLocally(SERVICE_UNAVAILABLE, "no server within the timeout", DEFAULT_RETRY_AFTER_MS);
		}
	}

	/**
	 * Ends a late response that stalls or goes on without end. One that still arrives has
	 * a short time in which it may end.
	 */
	private void endIfOverdue() {
		SendAttempt current = this.attempt;
		if (this.done || current == null) {
			return;
		}
		switch (this.delivery.nextStep()) {
			case AwaitMore step -> this.timeoutTimer = this.services.loop()
				.schedule(this::endIfOverdue, step.delayMs(), TimeUnit.MILLISECONDS);
			case EndResponse step -> endLate(current, step.cause());
		}
	}

	private void endLate(SendAttempt current, LateResponseCause cause) {
		current.cancel();
		endAttempt(current, cause.isServerFailure() ? SlotOutcome.FAILED : SlotOutcome.ABANDONED, ServerLoad.UNKNOWN);
		this.services.metrics().countLateResponse(this.request.service().value(), cause.name());
		this.delivery.abort(cause.description());
		complete(0, "entry", cause.description());
	}

	/**
	 * Handles the loss of the connection to the caller.
	 */
	void callerDisconnected() {
		if (!this.done) {
			cancelPending(isRepeatable());
			complete(0, "caller", "caller closed its connection");
			// A response that is not cancelled is read to the limit of unattended ones.
			this.delivery.resumeReading(connection());
		}
	}

	/**
	 * Cancels the pending slot request, the second attempt and the current one.
	 * @param cancelSent whether to cancel also a request that a server has received
	 * completely
	 */
	private void cancelPending(boolean cancelSent) {
		this.placing.cancel();
		HedgedAttempts pair = this.hedge;
		if (pair != null) {
			this.hedge = null;
			pair.recordWinner(null, now());
			abandon(pair.second());
		}
		SendAttempt current = this.attempt;
		if (current == null) {
			return;
		}
		this.sending.sendReceived();
		// A non-repeatable request that was sent completely is left to run to its end, as
		// long as its server has time left. Another entry VM decides by itself what to
		// cancel when the connection to it is closed.
		if (cancelSent || current.isRelay() || current.connection() == null || !this.content.isComplete()) {
			abandon(current);
		}
		else {
			this.services.loop()
				.schedule(() -> abandon(current),
						Math.max(0, this.request.timeoutAt() - now()) + UNATTENDED_RESPONSE_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void respondLocally(int status, String reason, int retryAfterMs) {
		if (this.done) {
			return;
		}
		HttpHeaders headers = new DefaultHttpHeaders();
		if (status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS) {
			this.services.protocol().setRetryAfter(headers, Math.max(DEFAULT_RETRY_AFTER_MS / 2, retryAfterMs));
		}
		if (this.request.relayed()) {
			this.services.protocol().setEarlierSends(headers, this.policy.sends());
		}
		this.delivery.reply(status, reason, headers);
		complete(status, "entry", reason);
	}

	private void endAttempt(SendAttempt current, SlotOutcome outcome, ServerLoad load) {
		HedgedAttempts pair = this.hedge;
		if (pair != null && pair.contains(current)) {
			this.hedge = null;
			pair.recordFailure(current, outcome, now());
			SendAttempt other = pair.otherThan(current);
			this.attempt = other;
			this.sending.attemptEnded(other.connection());
		}
		else if (this.attempt == current) {
			this.attempt = null;
			this.sending.attemptEnded(null);
		}
		current.markEnded();
		if (this.done) {
			this.sending.releaseMemory();
		}
		SlotGrant grant = current.grant();
		if (grant != null) {
			this.services.metrics().countSend(this.request.service().value(), outcome.name());
			this.placing.release(grant, outcome, load, (int) (now() - current.startedAt()));
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

	private void complete(int status, String origin, String reason) {
		this.done = true;
		ScheduledFuture<?> timer = this.timeoutTimer;
		if (timer != null) {
			timer.cancel(false);
		}
		this.placing.cancel();
		if (this.policy.totalSends() == 0 && !this.placing.isRelayed()) {
			this.request.limitDecision().returnToken();
		}
		SendAttempt unattended = this.attempt;
		if (unattended != null) {
			unattended.releaseBuffered();
		}
		// The server of an unattended attempt may not have taken the body yet.
		this.sending.close(unattended != null);
		long tookMs = now() - this.request.arrivedAt();
		this.services.metrics().countAnswer(this.request.route().name(), status, origin, tookMs);
		if (LOGGER.isInfoEnabled()) {
			LOGGER.info("{}",
					LogLine.event("request.done")
						.with("id", this.request.id())
						.with("route", this.request.route().name())
						.with("service", this.request.service())
						.with("status", status)
						.with("origin", origin)
						.with("sends", this.policy.sends())
						.with("mayHaveRun", this.policy.mayHaveRun() || this.timedOutAtServer)
						.with("tookMs", tookMs)
						.with("version", this.request.configurationVersion())
						.with("catalogAgeMs", this.services.catalog().ageMs())
						.with("why", reason));
		}
	}

}
