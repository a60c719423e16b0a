package org.lovagevale.gateway.http;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.SequencedSet;
import java.util.Set;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.LogLine;
import org.lovagevale.base.RandomSource;
import org.lovagevale.base.ServiceName;
import org.lovagevale.core.catalog.ClientAccount;
import org.lovagevale.core.catalog.RequestLimits;
import org.lovagevale.core.catalog.Route;
import org.lovagevale.core.catalog.ServingConfiguration;
import org.lovagevale.core.limit.LimitDecision;
import org.lovagevale.core.memory.HeldKind;
import org.lovagevale.core.memory.MemoryAccount;
import org.lovagevale.core.memory.MemoryReservation;
import org.lovagevale.core.pipelining.PipelineState;
import org.lovagevale.gateway.ServerProtocol;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Validates requests of callers and assigns them to routes and services.
 *
 * <p>
 * Confined to the event loop.
 */
public final class RequestRouter {

	/** Limits that apply until a configuration is known. */
	static final RequestLimits DEFAULT_LIMITS = new RequestLimits(16_384, 1_048_576, 3_000, 15_000);

	/**
	 * Retry delay for callers while no configuration is known, in milliseconds. A
	 * configuration is read within this time of the start.
	 */
	private static final int UNCONFIGURED_RETRY_AFTER_MS = 500;

	/**
	 * Step by which the position within the traffic shares of a route advances with each
	 * request. The golden ratio distributes successive requests evenly over the shares.
	 */
	private static final double GOLDEN_RATIO_STEP = 0.618033988749895;

	/** Number of initial positions within the traffic shares to choose from. */
	private static final int INITIAL_POSITIONS = 1 << 20;

	/**
	 * Retry delay for callers whose credential cannot be confirmed at present, in
	 * milliseconds. It is longer than the interval between reads of the platform.
	 */
	private static final long DENIAL_RETRY_AFTER_MS = 1_000;

	private static final int BAD_REQUEST = 400;

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	private static final int CONTENT_TOO_LARGE = 413;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int NOT_IMPLEMENTED = 501;

	private static final Logger LOGGER = LoggerFactory.getLogger(RequestRouter.class);

	private final ExchangeServices services;

	private final RequestAdmission admission;

	private final AccountLimits limits;

	private final Set<FrontendConnection> openConnections = new HashSet<>();

	/** The connections that are not read because the process is full, oldest first. */
	private final SequencedSet<FrontendConnection> pausedConnections = new LinkedHashSet<>();

	private double sharePosition;

	/**
	 * Creates a router.
	 * @param services the components shared by all exchanges
	 * @param random chooses the initial position within the traffic shares
	 * @param limits charges requests to the limits of their client accounts
	 */
	public RequestRouter(ExchangeServices services, RandomSource random, AccountLimits limits) {
		this.limits = limits;
		this.services = services;
		this.admission = new RequestAdmission(services.settings().accountPolicy());
		this.sharePosition = random.nextInt(INITIAL_POSITIONS) / (double) INITIAL_POSITIONS;
	}

	long now() {
		return this.services.clock().millis();
	}

	/**
	 * Returns when the data that is read now from a connection has arrived. The caller
	 * counts its time from when it sent the request, also if that waits behind another
	 * one.
	 * @param channel the channel of the connection
	 * @return the monotonic time in milliseconds
	 */
	long arrivalTime(Channel channel) {
		return now() - this.services.readDelay().millisOf(channel);
	}

	/**
	 * Returns the scheduler of what does not fit into one turn of the event loop.
	 * @return the scheduler
	 */
	TurnScheduler scheduler() {
		return this.services.scheduler();
	}

	boolean isStopping() {
		return this.services.plannedStop().isInProgress();
	}

	/**
	 * Returns the time that is left until a planned stop ends.
	 * @return the time in milliseconds
	 * @throws IllegalStateException if no planned stop is in progress
	 */
	long stopTimeLeftMs() {
		return this.services.plannedStop().timeLeftMs(now());
	}

	RequestLimits limits() {
		ServingConfiguration configuration = this.services.catalog().configuration();
		return (configuration != null) ? configuration.limits() : DEFAULT_LIMITS;
	}

	FrontendConnection createConnection() {
		FrontendConnection connection = new FrontendConnection(this);
		this.openConnections.add(connection);
		return connection;
	}

	void removeConnection(FrontendConnection connection) {
		this.openConnections.remove(connection);
		this.pausedConnections.remove(connection);
	}

	MemoryReservation reserveEvictable(Runnable eviction) {
		return this.services.memory().reserveEvictable(HeldKind.REQUEST_HEAD, eviction);
	}

	MemoryReservation reserve() {
		return this.services.memory().reserve(HeldKind.REQUEST_BODY, 0);
	}

	/**
	 * Has the connections that hold the most of requests which are not accepted yet give
	 * it up, if the process is full.
	 */
	void evictExcess() {
		MemoryEviction.evictExcess("requests", this.services.memory(), this.services.metrics());
	}

	/**
	 * Returns the headers of a response to a request for which there is no memory.
	 * @return the headers, which state when to send it again
	 */
	HttpHeaders memoryRetryHeaders() {
		HttpHeaders headers = new DefaultHttpHeaders();
		this.services.protocol().setRetryAfter(headers, this.services.memory().retryAfterMs());
		return headers;
	}

	CallerBacklog createBacklog(Runnable eviction) {
		return new CallerBacklog(this.services.responseMemory(), eviction);
	}

	boolean isResponseMemoryFull() {
		return this.services.responseMemory().isFull();
	}

	/**
	 * Has the responses that hold the most and are not taken be given up, if the process
	 * is full.
	 */
	void evictExcessResponses() {
		MemoryEviction.evictExcess("responses", this.services.responseMemory(), this.services.metrics());
	}

	/**
	 * Creates the account of a response that waits until earlier ones are sent.
	 * @param eviction gives up what is held of it
	 * @return the account
	 */
	MemoryReservation reserveResponse(Runnable eviction) {
		return this.services.responseMemory().reserveEvictable(HeldKind.RESPONSE_BODY, eviction);
	}

	boolean isMemoryFull() {
		return this.services.memory().isFull();
	}

	boolean isMemoryOverfull() {
		return this.services.memory().isOverfull();
	}

	void pauseReading(FrontendConnection connection) {
		this.pausedConnections.add(connection);
	}

	/**
	 * Resumes reading from as many paused connections as can each send one more buffer,
	 * beginning with the one that was paused first.
	 */
	void resumeReading() {
		MemoryAccount memory = this.services.memory();
		long resumable = (memory.limitBytes() - memory.heldBytes()) / FrontendServer.MAX_READ_BYTES;
		long count = Math.min(resumable, this.pausedConnections.size());
		for (long i = 0; i < count && !memory.isFull(); i++) {
			FrontendConnection connection = this.pausedConnections.removeFirst();
			connection.resumeReading();
		}
	}

	Set<FrontendConnection> connections() {
		return Set.copyOf(this.openConnections);
	}

	void countRejected(int status) {
		this.services.metrics().countAnswer("", status, "entry", 0);
	}

	void countCallerClose(CallerClose close) {
		this.services.metrics().countCallerClose(close.reason().name(), close.isRequestCut());
	}

	void countFailedWrite() {
		this.services.metrics().countFailedWrite("caller");
	}

	void countPipelinedRequest() {
		this.services.metrics().countPipelinedRequest();
	}

	void countWaitingResponse(long bytes) {
		this.services.metrics().countWaitingResponse(bytes);
	}

	void countReplacedResponse() {
		this.services.metrics().countReplacedResponse();
	}

	/**
	 * Decides whether a request may start behind unanswered ones on its connection.
	 * @param head the head of the request
	 * @param unanswered the number of unanswered requests
	 * @param concurrent whether all of these may run beside others
	 * @param ending whether the connection is closed after a response to one of these
	 * @return {@code false} if it has to wait
	 */
	boolean mayStartBehind(HttpRequest head, int unanswered, boolean concurrent, boolean ending) {
		ServingConfiguration configuration = this.services.catalog().configuration();
		Route route = (configuration != null && concurrent && PipelinedHead.isConcurrent(head))
				? findRoute(configuration, head) : null;
		boolean repeatable = route != null && route.kind().isRepeatable();
		return new PipelineState(unanswered, repeatable, ending || isStopping(), memoryShare()).mayStartNext();
	}

	// Requests that arrive slowly in part are given up before others have to wait.
	private double memoryShare() {
		MemoryAccount requests = this.services.memory();
		MemoryAccount responses = this.services.responseMemory();
		return Math.max((double) requests.keptBytes() / requests.limitBytes(),
				(double) responses.heldBytes() / responses.limitBytes());
	}

	private static @Nullable Route findRoute(ServingConfiguration configuration, HttpRequest head) {
		return configuration.routes().find(String.valueOf(head.headers().get(HttpHeaderNames.HOST)), path(head.uri()));
	}

	/**
	 * Validates the head of a request and starts its exchange, or rejects the request.
	 * @param head the head
	 * @param response the response to the request
	 * @param caller the IP address of the caller
	 * @param arrivedAt the monotonic time at which the head arrived, in milliseconds
	 */
	void accept(HttpRequest head, CallerResponse response, String caller, long arrivedAt) {
		Rejection rejection = validate(head);
		if (rejection != null) {
			response.rejectAndClose(rejection.status(), rejection.reason());
			return;
		}
		ServingConfiguration configuration = this.services.catalog().configuration();
		if (configuration == null) {
			HttpHeaders headers = new DefaultHttpHeaders();
			this.services.protocol().setRetryAfter(headers, UNCONFIGURED_RETRY_AFTER_MS);
			replyEarly(response, head, SERVICE_UNAVAILABLE, "no configuration yet", headers);
			return;
		}
		Route route = findRoute(configuration, head);
		if (route == null) {
			replyEarly(response, head, NOT_FOUND, "no route", new DefaultHttpHeaders());
			return;
		}
		long catalogAgeMs = this.services.catalog().ageMs();
		switch (this.admission.admit(this.services.protocol().credential(head.headers()), route, configuration,
				catalogAgeMs)) {
			case Admission.Admitted admitted -> charge(response, head, admitted, configuration, caller, arrivedAt);
			case Admission.Denied denied -> deny(response, head, denied, DENIAL_RETRY_AFTER_MS);
		}
	}

	// A request for which there is no memory is not charged.
	private void charge(CallerResponse response, HttpRequest head, Admission.Admitted admitted,
			ServingConfiguration configuration, String caller, long arrivedAt) {
		RequestSize size = RequestSize.of(head);
		if (!this.services.memory().accepts(size.headBytes() + size.bodyBytes(), admitted.route().priority())) {
			this.services.metrics().countRefusal(serviceOf(admitted.route()).value(), "MEMORY");
			replyEarly(response, head, SERVICE_UNAVAILABLE, "no memory for the request", memoryRetryHeaders());
			return;
		}
		LimitDecision decision = this.limits.charge(admitted.account(),
				this.services.protocol().relayReceiver(head.headers()));
		if (decision.isRefused()) {
			deny(response, head, admitted.denied(DenialCause.RATE_LIMIT), decision.retryAfterMs());
			return;
		}
		CallerRequest request = request(head, size, admitted, configuration, caller, arrivedAt, decision);
		response.handle(new Exchange(this.services, response, request),
				admitted.route().kind().isRepeatable() && PipelinedHead.isConcurrent(head));
	}

	private void deny(CallerResponse response, HttpRequest head, Admission.Denied denied, long retryAfterMs) {
		DenialCause cause = denied.cause();
		HttpHeaders headers = new DefaultHttpHeaders();
		if (cause.status() != UNAUTHORIZED) {
			this.services.protocol().setRetryAfter(headers, retryAfterMs);
		}
		this.services.metrics().countDenial(denied.account(), cause.name());
		replyEarly(response, head, cause.status(), cause.reason(), denied.account(), headers);
	}

	private ServiceName serviceOf(Route route) {
		this.sharePosition = (this.sharePosition + GOLDEN_RATIO_STEP) % 1;
		return route.serviceAt(this.sharePosition);
	}

	private CallerRequest request(HttpRequest head, RequestSize size, Admission.Admitted admitted,
			ServingConfiguration configuration, String caller, long arrivedAt, LimitDecision decision) {
		Route route = admitted.route();
		ClientAccount account = admitted.account();
		long callerTimeMs = this.services.protocol().callerTimeoutMs(head.headers());
		long deadline = (callerTimeMs != ServerProtocol.NO_TIME) ? arrivedAt + callerTimeMs : CallerRequest.NO_DEADLINE;
		String id = String.valueOf(this.services.protocol().requestId(head.headers()));
		String relayedFor = this.services.protocol().relayedCaller(head.headers());
		return new CallerRequest(head, size, id, route, (account != null) ? account.name() : null, serviceOf(route),
				decision, configuration.limits(), configuration.version(), (relayedFor != null) ? relayedFor : caller,
				relayedFor != null, arrivedAt, deadline);
	}

	// The rest of the request may not have arrived yet. It is discarded, since it must
	// not be parsed as a new request.
	private void replyEarly(CallerResponse response, HttpRequest head, int status, String reason, HttpHeaders headers) {
		replyEarly(response, head, status, reason, "", headers);
	}

	private void replyEarly(CallerResponse response, HttpRequest head, int status, String reason, String account,
			HttpHeaders headers) {
		LOGGER.info("{}",
				LogLine.event("request.rejected")
					.with("id", String.valueOf(this.services.protocol().requestId(head.headers())))
					.with("status", status)
					.with("why", reason)
					.with("account", account)
					.with("catalogAgeMs", this.services.catalog().ageMs()));
		countRejected(status);
		response.replyAndDiscard(status, reason, headers);
	}

	private static String path(String uri) {
		int end = uri.indexOf('?');
		return (end < 0) ? uri : uri.substring(0, end);
	}

	private @Nullable Rejection validate(HttpRequest head) {
		HttpHeaders headers = head.headers();
		List<String> hosts = headers.getAll(HttpHeaderNames.HOST);
		if (hosts.size() > 1 || hosts.isEmpty() || hosts.get(0).isBlank()) {
			return new Rejection(BAD_REQUEST, hosts.size() + " Host headers, expected one");
		}
		if (!head.uri().startsWith("/") || head.method().equals(HttpMethod.CONNECT)) {
			return new Rejection(BAD_REQUEST, "request target is not a path");
		}
		Rejection framingRejection = validateFraming(head, headers);
		if (framingRejection != null) {
			return framingRejection;
		}
		if (this.services.protocol().requestId(headers) == null) {
			return new Rejection(BAD_REQUEST, "request without an identity");
		}
		if (this.services.protocol().callerTimeoutMs(headers) == ServerProtocol.MALFORMED_TIME) {
			return new Rejection(BAD_REQUEST, "malformed time of the caller");
		}
		return null;
	}

	private @Nullable Rejection validateFraming(HttpRequest head, HttpHeaders headers) {
		List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
		if (!codings.isEmpty()) {
			boolean chunked = codings.size() == 1 && codings.get(0).trim().equalsIgnoreCase("chunked");
			if (!chunked) {
				return new Rejection(NOT_IMPLEMENTED, "transfer coding " + String.join(",", codings));
			}
			if (head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0) {
				return new Rejection(BAD_REQUEST, "transfer coding in " + head.protocolVersion());
			}
		}
		String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
		if (length != null && exceedsBodyLimit(length)) {
			return new Rejection(CONTENT_TOO_LARGE, "body of " + length + " bytes, at most " + limits().maxBodyBytes());
		}
		return null;
	}

	private boolean exceedsBodyLimit(String length) {
		try {
			return Long.parseLong(length.trim()) > limits().maxBodyBytes();
		}
		catch (NumberFormatException ex) {
			// The number is too large for a long.
			return true;
		}
	}

	/**
	 * The reason for which a request is not handled.
	 *
	 * @param status the HTTP status
	 * @param reason the reason, sent in the response body
	 */
	private record Rejection(int status, String reason) {
	}

}
