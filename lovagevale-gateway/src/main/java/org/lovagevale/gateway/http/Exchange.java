package org.lovagevale.gateway.http;

import java.util.HashSet;
import java.util.Map;
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
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.catalog.RequestKind;
import org.lovagevale.core.memory.HeldKind;
import org.lovagevale.core.memory.MemoryReservation;
import org.lovagevale.core.placing.AttemptPolicy;
import org.lovagevale.core.placing.NextStep;
import org.lovagevale.core.placing.RefusalCause;
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
 * Handles one request of a caller, from its head to the end of its response.
 *
 * <p>
 * Invariants: the caller gets at most one response; each slot is released exactly once; a
 * rejection that states that the request was not run is sent only if no server can have
 * run it. Confined to the event loop.
 */
final class Exchange implements SlotListener {

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
	 * Time in milliseconds that the exchange waits beyond the timeout of the request, so
	 * that a response which the server sends when the timeout expires still arrives.
	 */
	private static final long TIMEOUT_SLACK_MS = 40;

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
	 * Time without further data after which a response that is late counts as stalled, in
	 * milliseconds.
	 */
	private static final long STALL_MS = 200;

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

	private static final Logger LOGGER = LoggerFactory.getLogger(Exchange.class);

	private final ExchangeServices services;

	private final CallerConnection caller;

	private final CallerRequest request;

	private final AttemptPolicy policy;

	private final RequestContent content = new RequestContent();

	private final MemoryReservation headMemory;

	private final MemoryReservation bodyMemory;

	private final Set<ServerName> triedServers = new HashSet<>();

	private final RelayAttempts relayAttempts = new RelayAttempts();

	private @Nullable ScheduledFuture<?> timeoutTimer;

	private @Nullable SlotId pendingSlotId;

	private @Nullable SendAttempt attempt;

	/** The attempt whose response is passed on after a delay. */
	private @Nullable SendAttempt delayedAttempt;

	private @Nullable String lastFailure;

	/** Whether the request was at a server when its timeout expired. */
	private boolean timedOutAtServer;

	/** Whether received parts of the body are sent later in this turn of the loop. */
	private boolean sendScheduled;

	/** Whether the end of the body was sent in the current attempt. */
	private boolean bodySent;

	private boolean responseStarted;

	/** Whether the response is not read because the caller does not take it. */
	private boolean responsePaused;

	private boolean done;

	private long slotRequestedAt;

	/** Monotonic time in milliseconds of the last part of a response. */
	private long lastContentAt;

	Exchange(ExchangeServices services, CallerConnection caller, CallerRequest request) {
		this.services = services;
		this.caller = caller;
		this.request = request;
		this.headMemory = services.memory().reserve(HeldKind.REQUEST_HEAD, request.size().headBytes());
		this.bodyMemory = services.memory().reserve(HeldKind.REQUEST_BODY, request.size().bodyBytes());
		this.policy = new AttemptPolicy(request.route().kind(), request.route().maxAttempts());
		HttpRequest head = request.head();
		if (request.relayed()) {
			this.policy.recordSendsByOthers(services.protocol().earlierSends(head.headers()));
		}
		this.content.updateHash(
				head.method() + " " + head.headers().get(HttpHeaderNames.HOST) + head.uri() + " " + request.caller());
	}

	void begin() {
		long leftMs = this.request.timeoutAt() - now() + TIMEOUT_SLACK_MS;
		this.timeoutTimer = this.services.loop().schedule(this::timedOut, leftMs, TimeUnit.MILLISECONDS);
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
		SendAttempt current = this.attempt;
		return (current != null && current.connection() != null) ? RequestProgress.SENT : RequestProgress.WAITING;
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
		this.content.add(part);
		updateBodyMemory();
		if (this.content.size() > this.request.limits().maxBodyBytes()) {
			requestFailed(CONTENT_TOO_LARGE, "body-too-large");
			return;
		}
		SendAttempt current = this.attempt;
		BackendConnection connection = (current != null) ? current.connection() : null;
		if (connection != null) {
			scheduleSend();
		}
		else if (this.pendingSlotId == null && current == null && isBodyReady()) {
			place();
		}
		else if (this.content.size() > RequestContent.MAX_REPLAYABLE_BYTES) {
			this.caller.setReading(false);
		}
	}

	// What a server has not taken yet is a part of the body, unless that was dropped.
	private void updateBodyMemory() {
		boolean expected = !this.done && !this.content.isComplete() && this.content.isReplayable();
		long expectedBytes = expected ? this.request.size().bodyBytes() : 0;
		SendAttempt current = this.attempt;
		BackendConnection connection = (current != null) ? current.connection() : null;
		long pendingBytes = (connection != null) ? PendingWrites.bytesOf(connection.channel()) : 0;
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

	private boolean isBodyReady() {
		return this.content.isComplete() || this.content.size() > RequestContent.BUFFERED_BEFORE_SLOT_BYTES;
	}

	/**
	 * Relays the request to another region if it must not be served in this one, and
	 * otherwise requests a slot. Rejects it if it could not be completed before this
	 * process ends.
	 */
	private void place() {
		if (!isFinishable()) {
			rejectForStop();
			return;
		}
		if (!this.services.relay().isOutsideHomeRegions(this.request) || !tryRelay()) {
			requestSlot();
		}
	}

	/**
	 * Relays the request to an entry VM of another region.
	 * @return {@code false} if there is no entry VM to relay to
	 */
	private boolean tryRelay() {
		BackendInstance entry = (this.relayAttempts.isExhausted() || !isFinishable()) ? null
				: this.services.relay().findEntryVm(this.request, this.relayAttempts.triedRegions());
		if (entry == null) {
			return false;
		}
		this.relayAttempts.started(entry.region());
		relayTo(entry);
		return true;
	}

	private void relayTo(BackendInstance entry) {
		SendAttempt newAttempt = new SendAttempt(this, null, entry, this.services.responseMemory(), now());
		this.attempt = newAttempt;
		this.services.connectionPool().acquireEntryVm(entry, maxIdleMs(), newAttempt);
	}

	@Override
	public void moved(Region region) {
		this.pendingSlotId = null;
		this.services.metrics().countRefusal(this.request.service().value(), RefusalCause.OTHER_REGION.name());
		if (this.done) {
			return;
		}
		this.relayAttempts.moved(region);
		BackendInstance entry = isFinishable() ? this.services.relay().findEntryVmIn(this.request, region) : null;
		if (entry != null) {
			relayTo(entry);
		}
		else {
			place();
		}
	}

	private Set<Region> overflowRegions() {
		boolean movable = this.policy.totalSends() == 0 && this.content.isReplayable()
				&& !this.relayAttempts.isExhausted();
		return movable ? this.services.relay().overflowRegions(this.request, this.relayAttempts.triedRegions())
				: Set.of();
	}

	// This process itself places a request on a server of another region only if no entry
	// VM of that region can place it.
	private boolean isLocalOnly() {
		return this.request.relayed() || !this.services.relay().isOutsideHomeRegions(this.request)
				&& (this.relayAttempts.isRejected() || this.services.relay().hasCandidateRegion(this.request));
	}

	private void requestSlot() {
		long now = now();
		SlotId id = this.services.slots().nextId();
		this.pendingSlotId = id;
		this.slotRequestedAt = now;
		int workMs = this.services.estimates().forRoute(this.request.route()).millis();
		Set<ServerName> excluded = new HashSet<>(this.triedServers);
		excluded.addAll(pausedServers().keySet());
		this.services.slots()
			.requestSlot(new SlotRequest(id, this.request.service(), this.services.settings().domain(),
					this.request.route().homeRegions(), isLocalOnly(), this.request.route().priority(),
					this.request.route().kind() == RequestKind.DOWNLOAD, this.policy.nextPurpose(), workMs,
					(int) (this.request.targetAt() - now), (int) (this.request.timeoutAt() - now), excluded,
					this.content.fingerprint(), this.request.route().name(), (int) this.content.size(),
					overflowRegions()), this);
	}

	// Other entry VMs may go on using these servers, so their dispatcher does not know.
	private Map<ServerName, Long> pausedServers() {
		return this.services.announcements()
			.paused(this.request.service(), (name) -> this.services.catalog().server(name));
	}

	@Override
	public void granted(SlotGrant grant) {
		this.pendingSlotId = null;
		this.services.metrics().recordSlotWait(this.request.service().value(), now() - this.slotRequestedAt);
		if (this.done) {
			release(grant, SlotOutcome.UNUSED, ServerLoad.UNKNOWN, 0);
			return;
		}
		if (!isFinishable()) {
			release(grant, SlotOutcome.UNUSED, ServerLoad.UNKNOWN, 0);
			rejectForStop();
			return;
		}
		BackendInstance server = this.services.catalog().server(grant.server());
		if (server == null || server.draining() || this.services.announcements().isLeaving(server)) {
			this.triedServers.add(grant.server());
			release(grant, SlotOutcome.UNUSED, ServerLoad.UNKNOWN, 0);
			attemptFailed(SlotOutcome.UNUSED, "server " + grant.server() + " is not listed here or leaving");
			return;
		}
		if (!this.services.announcements().isAvailable(server)) {
			release(grant, SlotOutcome.UNUSED, ServerLoad.UNKNOWN, 0);
			attemptFailed(SlotOutcome.UNUSED, "server " + grant.server() + " is paused");
			return;
		}
		SendAttempt newAttempt = new SendAttempt(this, grant, server, this.services.responseMemory(), now());
		this.attempt = newAttempt;
		this.services.connectionPool().acquire(server, maxIdleMs(), newAttempt);
	}

	private long maxIdleMs() {
		return isRepeatable() ? REPEATABLE_MAX_IDLE_MS : NON_REPEATABLE_MAX_IDLE_MS;
	}

	@Override
	public void refused(RefusalCause cause, int retryAfterMs) {
		this.pendingSlotId = null;
		this.services.metrics().countRefusal(this.request.service().value(), cause.name());
		if (!this.done) {
			String failure = this.lastFailure;
			String reason = cause + ", retry after " + retryAfterMs + " ms";
			if (mayOverflow(cause)) {
				this.relayAttempts.rejected(retryAfterMs);
				this.lastFailure = reason;
				if (tryRelay()) {
					return;
				}
			}
			long pauseLeftMs = firstPauseLeftMs();
			if (cause == RefusalCause.NO_SERVER && pauseLeftMs > 0) {
				awaitPauseEnd(pauseLeftMs, reason);
				return;
			}
			respondRefused((failure != null) ? reason + ", after " + failure : reason, retryAfterMs);
		}
	}

	/**
	 * Returns the time until the first pause ends of a server that the request may be
	 * sent to.
	 * @return the time in milliseconds, 0 if there is no such server
	 */
	private long firstPauseLeftMs() {
		return pausedServers().entrySet()
			.stream()
			.filter((entry) -> isPermitted(entry.getKey()))
			.mapToLong(Map.Entry::getValue)
			.min()
			.orElse(0);
	}

	private boolean isPermitted(ServerName id) {
		BackendInstance server = this.services.catalog().server(id);
		return server != null && !this.triedServers.contains(id) && !server.draining()
				&& !this.services.announcements().isLeaving(server)
				&& !this.services.catalog().catalog().evacuated().contains(server.domain())
				&& this.request.route().isAllowedIn(server.region())
				&& (!isLocalOnly() || server.region().equals(this.services.roster().self().region()));
	}

	// All servers are paused. The request waits for the first one if there is time enough
	// to run it then, and is otherwise rejected at once.
	private void awaitPauseEnd(long pauseLeftMs, String reason) {
		int workMs = this.services.estimates().forRoute(this.request.route()).millis();
		if (now() + pauseLeftMs + workMs > this.request.timeoutAt()) {
			respondRefused(reason, (int) pauseLeftMs);
			return;
		}
		this.services.loop().schedule(() -> {
			if (!this.done && this.attempt == null && this.pendingSlotId == null) {
				place();
			}
		}, pauseLeftMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Tells whether a request for which this region has no server may be relayed.
	 * @param cause the reason for which no slot was granted
	 * @return {@code true} if another region may serve the request
	 */
	private boolean mayOverflow(RefusalCause cause) {
		return cause == RefusalCause.NO_SERVER && this.policy.sends() == 0
				&& !this.services.relay().isOutsideHomeRegions(this.request) && this.content.isReplayable();
	}

	/**
	 * Tells whether the request will be over before a planned stop of this process ends.
	 * @return {@code true} if it will, or if no planned stop is in progress
	 */
	private boolean isFinishable() {
		return this.services.plannedStop()
			.allows(now(), this.request.timeoutAt() + TIMEOUT_SLACK_MS,
					this.services.estimates().forRoute(this.request.route()).millis());
	}

	/**
	 * Rejects the request if it is not at a server or another entry VM and could not be
	 * completed before a planned stop of this process ends.
	 */
	void rejectIfUnfinishable() {
		if (!this.done && this.attempt == null && !isFinishable()) {
			rejectForStop();
		}
	}

	// Another entry VM can take the request at once; without one, the caller has to wait
	// until this process has been replaced.
	private void rejectForStop() {
		cancelPending(true);
		boolean elsewhere = !this.services.roster().serving().isEmpty() || this.services.relay().hasContacts();
		int retryAfterMs = elsewhere ? 0 : (int) this.services.plannedStop().timeLeftMs(now());
		respondRefused("this process is stopping", retryAfterMs);
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
		SendAttempt current = this.attempt;
		boolean mayHaveRun = this.policy.mayHaveRun() || current != null && current.connection() != null;
		cancelPending(true);
		if (this.responseStarted) {
			this.caller.abort(reason);
			complete(0, "caller", reason);
			return;
		}
		// Another entry VM takes 400 and 413 for a statement that it was not run, too.
		boolean promise = status == REQUEST_TIMEOUT || this.request.relayed();
		respondLocally((mayHaveRun && promise) ? GATEWAY_TIMEOUT : status, reason, 0);
	}

	private void respondRefused(String reason, int retryAfterMs) {
		if (this.policy.mayHaveRun()) {
			respondLocally(BAD_GATEWAY, reason, 0);
		}
		else {
			respondLocally(SERVICE_UNAVAILABLE, reason, retryAfterMs);
		}
	}

	void connected(SendAttempt current, BackendConnection connection) {
		long leftMs = this.request.timeoutAt() - now();
		SlotGrant grant = current.grant();
		boolean available = grant == null || this.services.announcements().isAvailable(current.server());
		if (leftMs <= 0 || !available) {
			connection.channel().close();
			endAttempt(current, SlotOutcome.UNUSED, ServerLoad.UNKNOWN);
			attemptFailed(SlotOutcome.UNUSED, available ? "no time left when the connection was open"
					: "server " + current.server().id() + " is leaving or paused");
			return;
		}
		if (grant != null) {
			this.policy.recordSend();
			this.triedServers.add(current.server().id());
		}
		connection.setAcknowledgementTimeout(this.content.isComplete() ? this.content.size() : Long.MAX_VALUE, leftMs);
		// A rejection by another entry VM does not carry the request ID.
		connection.beginRequest(current, requestHead(current, leftMs), this.request.id(), grant != null);
		logAttempt(current, grant, leftMs);
		this.content.rewind();
		this.bodySent = false;
		sendUnsent(connection);
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
				.with("slotMs", current.startedAt() - this.slotRequestedAt);
		}
		line = line.with("connectMs", now() - current.startedAt())
			.with("leftMs", leftMs)
			.with("catalogAgeMs", this.services.catalog().ageMs());
		LOGGER.info("{}", (grant != null) ? line.with("why", grant.why()) : line);
	}

	private HttpRequest requestHead(SendAttempt current, long leftMs) {
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
			this.services.protocol().setEarlierSends(headers, this.policy.totalSends());
		}
		else {
			this.services.protocol().setServerHeaders(headers, leftMs, current.server().id());
		}
		return new DefaultHttpRequest(HttpVersion.HTTP_1_1, received.method(), received.uri(), headers);
	}

	// Sends the parts of the body together that arrive in one turn of the event loop.
	private void scheduleSend() {
		if (!this.sendScheduled) {
			this.sendScheduled = true;
			this.services.loop().execute(this::sendReceived);
		}
	}

	private void sendReceived() {
		boolean scheduled = this.sendScheduled;
		this.sendScheduled = false;
		SendAttempt current = this.attempt;
		BackendConnection connection = (current != null) ? current.connection() : null;
		if (scheduled && !this.done && connection != null) {
			sendUnsent(connection);
		}
	}

	private void sendUnsent(BackendConnection connection) {
		for (ByteBuf part : this.content.takeUnsent()) {
			connection.write(new DefaultHttpContent(part));
		}
		if (this.content.isComplete() && !this.bodySent) {
			this.bodySent = true;
			connection.write(LastHttpContent.EMPTY_LAST_CONTENT);
		}
		this.content.dropIfTooLarge();
		updateBodyMemory();
		this.caller.setReading(this.content.isComplete() || connection.channel().isWritable());
	}

	void serverWritable() {
		updateBodyMemory();
		if (!this.done) {
			this.caller.setReading(true);
		}
	}

	void unreachable(SendAttempt current, String reason) {
		if (current.isRelay()) {
			this.relayAttempts.unreachable(current.server().region());
			endAttempt(current, SlotOutcome.UNREACHABLE, ServerLoad.UNKNOWN);
			this.lastFailure = reason;
			if (this.relayAttempts.isMovedTo(current.server().region()) || !tryRelay()) {
				requestSlot();
			}
			return;
		}
		this.triedServers.add(current.server().id());
		endAttempt(current, SlotOutcome.UNREACHABLE, ServerLoad.UNKNOWN);
		attemptFailed(SlotOutcome.UNREACHABLE, reason);
	}

	void contentReceived(SendAttempt current, HttpContent part) {
		if (this.done) {
			if (current.discard(part) > MAX_BUFFERED_RESPONSE_BYTES) {
				abandon(current);
			}
			return;
		}
		this.lastContentAt = now();
		if (current.buffer(part) > MAX_BUFFERED_RESPONSE_BYTES) {
			if (this.responseStarted) {
				passOnReceived(current);
			}
			else {
				bufferExceeded(current);
			}
		}
	}

	// Reads no more of the response if the caller takes it more slowly.
	private void passOnReceived(SendAttempt current) {
		passOnBuffered(current);
		this.caller.flush();
		BackendConnection connection = current.connection();
		if (connection != null && !this.caller.isWritable()) {
			this.responsePaused = true;
			connection.setReading(false);
		}
	}

	private void passOnBuffered(SendAttempt current) {
		ByteBuf buffered = current.takeBuffered();
		if (buffered != null) {
			this.caller.writeContent(buffered);
		}
	}

	// A body that is not passed on is not read to its end, since it may have none.
	private void bufferExceeded(SendAttempt current) {
		HttpResponse response = current.response();
		SlotOutcome outcome = classify(current);
		boolean genuineFailure = outcome == SlotOutcome.FAILED && response != null && isGenuine(response);
		if (outcome == SlotOutcome.SERVED || genuineFailure) {
			startResponse(current, false);
			return;
		}
		current.cancel();
		responseEnded(current);
	}

	private void abandon(SendAttempt current) {
		if (!current.isEnded()) {
			boolean silent = isSilent(current);
			current.cancel();
			endAttempt(current, silent ? SlotOutcome.FAILED : SlotOutcome.ABANDONED, ServerLoad.UNKNOWN);
		}
	}

	// With less time, the response of a sound server may have been on the way.
	private boolean isSilent(SendAttempt current) {
		SlotGrant grant = current.grant();
		return grant != null && current.connection() != null && current.response() == null
				&& now() - current.startedAt() >= (long) MIN_SILENCE_FACTOR * grant.request().workMs();
	}

	void responseReadComplete(SendAttempt current) {
		if (this.done) {
			return;
		}
		if (this.responseStarted) {
			passOnReceived(current);
			return;
		}
		current.accountBuffered();
		if (this.delayedAttempt == current) {
			return;
		}
		this.delayedAttempt = current;
		this.services.loop().schedule(() -> {
			if (!this.done && !this.responseStarted && this.attempt == current && current.response() != null
					&& classify(current) == SlotOutcome.SERVED) {
				startResponse(current, false);
				this.caller.flush();
			}
		}, RESPONSE_BUFFER_DELAY_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Continues to read the response if that was paused and the caller has taken enough
	 * of it.
	 */
	void callerWritable() {
		if (this.responsePaused && this.caller.isWritable()) {
			// While the caller took no data, none was read from the server.
			this.lastContentAt = now();
			resumeReadingResponse();
		}
	}

	private void resumeReadingResponse() {
		this.responsePaused = false;
		SendAttempt current = this.attempt;
		BackendConnection connection = (current != null) ? current.connection() : null;
		if (connection != null) {
			connection.setReading(true);
		}
	}

	/**
	 * Classifies a response by its head.
	 * @param current the attempt that received the response
	 * @return the outcome
	 */
	private SlotOutcome classify(SendAttempt current) {
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

	// No content encoding is requested, so an encoded response was changed after it left
	// the server.
	private boolean isGenuine(HttpResponse response) {
		return this.services.protocol().isSigned(response.headers())
				&& !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
	}

	private void startResponse(SendAttempt current, boolean complete) {
		HttpResponse response = current.response();
		if (response == null) {
			throw new IllegalStateException("no response to pass on");
		}
		this.responseStarted = true;
		this.lastContentAt = now();
		HttpHeaders headers = HopByHopHeaders.copyWithout(response.headers(), (name) -> false);
		if (complete && !isHeadRequest() && !HttpUtil.isContentLengthSet(response)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, current.bufferedBytes());
		}
		this.caller.writeHead(new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), headers));
		passOnBuffered(current);
	}

	private boolean isHeadRequest() {
		return this.request.head().method().name().equals("HEAD");
	}

	void responseEnded(SendAttempt current) {
		SlotOutcome outcome = classify(current);
		HttpResponse response = current.response();
		ServerLoad load = (response != null) ? this.services.protocol().load(response.headers()) : ServerLoad.UNKNOWN;
		endAttempt(current, outcome, load);
		if (outcome != SlotOutcome.SERVED) {
			logUnsuccessful(current, outcome);
		}
		if (this.done) {
			current.releaseBuffered();
			return;
		}
		if (this.responseStarted) {
			finish(current);
			return;
		}
		if (outcome == SlotOutcome.SERVED) {
			if (!current.isRelay()) {
				this.services.estimates().forRoute(this.request.route()).recordDuration(now() - current.startedAt());
			}
			startResponse(current, true);
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
			startResponse(current, true);
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
		LOGGER.info("{}",
				LogLine.event("request.unsuccessful")
					.with("id", this.request.id())
					.with("send", this.policy.sends())
					.with("server", current.server().id())
					.with("outcome", outcome)
					.with("status", (response != null) ? response.status().code() : 0)
					.with("tookMs", now() - current.startedAt()));
	}

	// The other entry VM has already made all attempts that are allowed, so the
	// request is not sent again after a failure.
	private void relayEnded(SendAttempt current, SlotOutcome outcome, HttpResponse response) {
		String reason = "status " + response.status().code() + " of entry VM " + current.server().id();
		if (outcome == SlotOutcome.FAILED) {
			// Called only to record that the request may have run.
			this.policy.nextStep(outcome, false, 0);
			if (isGenuine(response)) {
				startResponse(current, true);
				finish(current);
				return;
			}
			current.releaseBuffered();
			respondLocally((response.status().code() == GATEWAY_TIMEOUT) ? GATEWAY_TIMEOUT : BAD_GATEWAY, reason, 0);
			return;
		}
		current.releaseBuffered();
		this.policy.recordSendsByOthers(this.services.protocol().earlierSends(response.headers()));
		this.relayAttempts.rejected(this.services.protocol().retryAfterMs(response.headers()));
		this.services.relay().rejected(current.server().region());
		this.lastFailure = reason;
		if (this.relayAttempts.isMovedTo(current.server().region()) && this.content.isReplayable()) {
			place();
		}
		else if (!this.content.isReplayable() || !tryRelay()) {
			respondLocally(SERVICE_UNAVAILABLE, reason, this.relayAttempts.retryAfterMs(DEFAULT_RETRY_AFTER_MS));
		}
	}

	private void finish(SendAttempt current) {
		passOnBuffered(current);
		HttpResponse response = current.response();
		int status = (response != null) ? response.status().code() : 0;
		this.caller.finish();
		complete(status, "server", "server=" + current.server().id());
	}

	void connectionLost(SendAttempt current, String reason) {
		endAttempt(current, SlotOutcome.LOST, ServerLoad.UNKNOWN);
		if (!this.done && this.responseStarted) {
			passOnBuffered(current);
			this.caller.abort(reason);
			complete(0, "entry", "response aborted: " + reason);
			return;
		}
		current.releaseBuffered();
		if (this.done) {
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
		this.lastFailure = reason;
		switch (step) {
			case SEND_AGAIN -> place();
			case ANSWER_NOT_RUN -> respondLocally(SERVICE_UNAVAILABLE, reason, DEFAULT_RETRY_AFTER_MS);
			case ANSWER_FAILED -> respondLocally(BAD_GATEWAY, reason, 0);
		}
	}

	private void timedOut() {
		if (this.done) {
			return;
		}
		if (this.responseStarted) {
			endIfStalled();
			return;
		}
		SendAttempt pending = this.attempt;
		this.timedOutAtServer = pending != null && pending.connection() != null;
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
	 * Ends a response that is late and no longer arrives. One that does is passed on to
	 * its end.
	 */
	private void endIfStalled() {
		SendAttempt current = this.attempt;
		if (this.done || current == null) {
			return;
		}
		if (!this.caller.isWritable() || now() - this.lastContentAt < STALL_MS) {
			this.timeoutTimer = this.services.loop().schedule(this::endIfStalled, STALL_MS, TimeUnit.MILLISECONDS);
			return;
		}
		current.cancel();
		endAttempt(current, SlotOutcome.FAILED, ServerLoad.UNKNOWN);
		this.caller.abort("response stalled");
		complete(0, "entry", "response stalled");
	}

	/**
	 * Handles the loss of the connection to the caller.
	 */
	void callerDisconnected() {
		if (!this.done) {
			cancelPending(isRepeatable());
			complete(0, "caller", "caller closed its connection");
			// A response that is not cancelled is read to the limit of unattended ones.
			resumeReadingResponse();
		}
	}

	/**
	 * Cancels the pending slot request and the current attempt.
	 * @param cancelSent whether to cancel also a request that a server has received
	 * completely
	 */
	private void cancelPending(boolean cancelSent) {
		SlotId slotId = this.pendingSlotId;
		if (slotId != null) {
			this.services.slots().cancel(slotId);
			this.pendingSlotId = null;
		}
		SendAttempt current = this.attempt;
		if (current == null) {
			return;
		}
		sendReceived();
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
		if (status == SERVICE_UNAVAILABLE) {
			this.services.protocol().setRetryAfter(headers, Math.max(DEFAULT_RETRY_AFTER_MS / 2, retryAfterMs));
		}
		if (this.request.relayed()) {
			this.services.protocol().setEarlierSends(headers, this.policy.sends());
		}
		this.caller.reply(status, reason, headers);
		complete(status, "entry", reason);
	}

	private void endAttempt(SendAttempt current, SlotOutcome outcome, ServerLoad load) {
		if (this.attempt == current) {
			this.attempt = null;
		}
		current.markEnded();
		if (this.done) {
			this.bodyMemory.release();
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

	private void complete(int status, String origin, String reason) {
		this.done = true;
		ScheduledFuture<?> timer = this.timeoutTimer;
		if (timer != null) {
			timer.cancel(false);
		}
		this.content.release();
		this.headMemory.release();
		SendAttempt unattended = this.attempt;
		if (unattended == null) {
			this.bodyMemory.release();
		}
		else {
			unattended.releaseBuffered();
			// The server may not have taken the body yet.
			updateBodyMemory();
		}
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
