package org.lovagevale.gateway;

import java.time.Duration;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import org.lovagevale.base.ServiceName;
import org.lovagevale.core.memory.HeldKind;
import org.lovagevale.core.memory.MemoryAccount;
import org.lovagevale.core.placing.HedgeRefusal;
import org.lovagevale.gateway.fleet.HedgeObserver;

/**
 * The metrics of an entry process.
 *
 * <p>
 * Invariant: tag values are limited to services, routes, accounts, statuses, origins,
 * causes and outcomes, never paths or identities of requests, so that the number of time
 * series stays bounded. Thread-safe.
 */
public final class GatewayMetrics implements HedgeObserver {

	private static final String SERVICE_TAG = "service";

	private static final Duration[] LATENCY_BUCKETS = { Duration.ofMillis(1), Duration.ofMillis(5),
			Duration.ofMillis(20), Duration.ofMillis(50), Duration.ofMillis(100), Duration.ofMillis(200),
			Duration.ofMillis(400), Duration.ofMillis(800), Duration.ofMillis(1_600), Duration.ofMillis(3_200),
			Duration.ofMillis(6_400) };

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final Meter.MeterProvider<Counter> answers = Counter.builder("lovagevale.gateway.answers")
		.description("Responses to callers by route, status and origin")
		.withRegistry(this.registry);

	private final Meter.MeterProvider<Counter> relays = Counter.builder("lovagevale.gateway.relays")
		.description("Requests passed on to entry VMs of other regions by outcome")
		.withRegistry(this.registry);

	private final Meter.MeterProvider<Counter> sends = Counter.builder("lovagevale.gateway.sends")
		.description("Requests sent to backend servers by outcome")
		.withRegistry(this.registry);

	private final Meter.MeterProvider<Counter> refusals = Counter.builder("lovagevale.gateway.refusals")
		.description("Requests without a server by cause")
		.withRegistry(this.registry);

	private final Meter.MeterProvider<Counter> regionLoads = Counter.builder("lovagevale.gateway.region.loads")
		.description("Reports of the capacity of a service between regions, by direction")
		.withRegistry(this.registry);

	private final Meter.MeterProvider<Counter> hedges = Counter.builder("lovagevale.gateway.hedges")
		.description("Hedged requests by event")
		.withRegistry(this.registry);

	private final Meter.MeterProvider<Counter> hedgeRefusals = Counter.builder("lovagevale.gateway.hedges.refused")
		.description("Requests that were late because of their server and were not hedged, by cause")
		.withRegistry(this.registry);

	private final Meter.MeterProvider<Counter> lateResponses = Counter.builder("lovagevale.gateway.responses.late")
		.description("Responses ended before their end after the timeout of the request, by cause")
		.withRegistry(this.registry);

	private final Meter.MeterProvider<Counter> denials = Counter.builder("lovagevale.gateway.accounts.denials")
		.description("Requests denied because of their credential or client account by cause")
		.withRegistry(this.registry);

	private final Meter.MeterProvider<Counter> limitDecisions = Counter.builder("lovagevale.gateway.accounts.limited")
		.description("Requests of client accounts that have a rate limit by decision")
		.withRegistry(this.registry);

	private final Meter.MeterProvider<Counter> connections = Counter.builder("lovagevale.gateway.connections")
		.description("Connections opened to backend servers")
		.withRegistry(this.registry);

	private final Meter.MeterProvider<Counter> leavingServers = Counter.builder("lovagevale.gateway.servers.leaving")
		.description("Backend servers that announced in a response that they are leaving")
		.withRegistry(this.registry);

	private final Meter.MeterProvider<Counter> pauses = Counter.builder("lovagevale.gateway.servers.pauses")
		.description("Rejections by backend servers that want no requests for some time")
		.withRegistry(this.registry);

	private final Meter.MeterProvider<Counter> unexpectedData = Counter
		.builder("lovagevale.gateway.responses.unexpected")
		.description("Data from servers that is no part of the expected response by kind")
		.withRegistry(this.registry);

	private final Meter.MeterProvider<Timer> durations = Timer.builder("lovagevale.gateway.duration")
		.description("Time from the head of a request to the end of its response")
		.serviceLevelObjectives(LATENCY_BUCKETS)
		.withRegistry(this.registry);

	private final Meter.MeterProvider<Timer> slotWaits = Timer.builder("lovagevale.gateway.slot.wait")
		.description("Time from asking for a server to the decision")
		.serviceLevelObjectives(LATENCY_BUCKETS)
		.withRegistry(this.registry);

	private final Counter platformReads = Counter.builder("lovagevale.gateway.platform.reads")
		.description("Calls to the platform")
		.register(this.registry);

	private final Counter failedPlatformReads = Counter.builder("lovagevale.gateway.platform.reads.failed")
		.description("Calls to the platform that brought nothing")
		.register(this.registry);

	private final Meter.MeterProvider<Counter> failedWrites = Counter.builder("lovagevale.gateway.writes.failed")
		.description("Parts of requests and responses that could not be written to an open connection")
		.withRegistry(this.registry);

	private final Meter.MeterProvider<Counter> callerCloses = Counter.builder("lovagevale.gateway.callers.closed")
		.description("Connections of callers that were closed, by reason")
		.withRegistry(this.registry);

	private final Timer loopDelays = Timer.builder("lovagevale.gateway.loop.delay")
		.description("Delay of the periodic work of the event loop")
		.serviceLevelObjectives(LATENCY_BUCKETS)
		.register(this.registry);

	private final Meter.MeterProvider<Counter> evictions = Counter.builder("lovagevale.gateway.memory.evictions")
		.description("Unfinished messages that were given up because the process was full, by account")
		.withRegistry(this.registry);

	private final Counter pipelinedRequests = Counter.builder("lovagevale.gateway.pipelined.requests")
		.description("Requests started while an earlier one on their connection was in progress")
		.register(this.registry);

	private final Counter waitingResponses = Counter.builder("lovagevale.gateway.pipelined.responses")
		.description("Responses that waited until earlier ones on their connection were sent")
		.register(this.registry);

	private final Counter waitingResponseBytes = Counter.builder("lovagevale.gateway.pipelined.responses.size")
		.description("Size of these responses, as far as they had arrived at their turn, in bytes")
		.register(this.registry);

	private final Counter replacedResponses = Counter.builder("lovagevale.gateway.pipelined.responses.replaced")
		.description("Responses that failed before their turn, so that their callers got 502")
		.register(this.registry);

	private final Counter healthChecks = Counter.builder("lovagevale.gateway.health.checks")
		.description("Health checks of backend servers")
		.register(this.registry);

	/**
	 * Creates metrics that are all zero.
	 */
	public GatewayMetrics() {
		Gauge.builder("lovagevale.gateway.memory.direct", GatewayMetrics::directMemoryBytes)
			.description("Direct memory reserved for the buffers of connections, in bytes")
			.register(this.registry);
		Gauge.builder("lovagevale.gateway.memory.heap", GatewayMetrics::heapBytes)
			.description("Heap in use, in bytes, with what the next collection will free")
			.register(this.registry);
	}

	/**
	 * Adds the held bytes of an account, which are read when the metrics are.
	 * @param name the name of the account
	 * @param account the account
	 */
	void observe(String name, MemoryAccount account) {
		for (HeldKind kind : HeldKind.values()) {
			Gauge.builder("lovagevale.gateway.memory.held", account, (observed) -> observed.heldBytes(kind))
				.description("Bytes held, by account and kind")
				.tags("account", name, "kind", kind.name())
				.register(this.registry);
		}
		Gauge.builder("lovagevale.gateway.memory.limit", account, MemoryAccount::limitBytes)
			.description("Limit on the held bytes, by account")
			.tags("account", name)
			.register(this.registry);
	}

	/**
	 * Counts unfinished messages that were given up because the process was full.
	 * @param account the name of the account that was full
	 * @param count the number of messages
	 */
	public void countEvictions(String account, int count) {
		this.evictions.withTags("account", account).increment(count);
	}

	/**
	 * Returns the heap that is in use.
	 * @return the size in bytes, with what the next collection will free
	 */
	public static long heapBytes() {
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	/**
	 * Returns the direct memory that is reserved for the buffers of connections.
	 * @return the size in bytes, -1 if the allocator does not report it
	 */
	public static long directMemoryBytes() {
		return (ByteBufAllocator.DEFAULT instanceof ByteBufAllocatorMetricProvider provider)
				? provider.metric().usedDirectMemory() : -1;
	}

	/**
	 * Counts a response to a caller and records its duration.
	 * @param route the name of the route, empty if there is none
	 * @param status the status code
	 * @param origin {@code server} if a backend server sent the response, {@code entry}
	 * if this process created it
	 * @param tookMs the time from the head of the request to the end of the response, in
	 * milliseconds
	 */
	public void countAnswer(String route, int status, String origin, long tookMs) {
		this.answers.withTags("route", route, "status", Integer.toString(status), "origin", origin).increment();
		this.durations.withTags("route", route).record(Duration.ofMillis(tookMs));
	}

	/**
	 * Counts a request relayed to an entry VM of another region.
	 * @param service the name of the service
	 * @param outcome the outcome of the relay
	 */
	public void countRelay(String service, String outcome) {
		this.relays.withTags(SERVICE_TAG, service, "outcome", outcome).increment();
	}

	/**
	 * Counts a report of the capacity of a service.
	 * @param service the name of the service
	 * @param direction {@code sent} to another region or {@code received} from it
	 */
	public void countRegionLoad(String service, String direction) {
		this.regionLoads.withTags(SERVICE_TAG, service, "direction", direction).increment();
	}

	/**
	 * Counts a request sent to a backend server.
	 * @param service the name of the service
	 * @param outcome the outcome of the attempt
	 */
	public void countSend(String service, String outcome) {
		this.sends.withTags(SERVICE_TAG, service, "outcome", outcome).increment();
	}

	/**
	 * Counts a request for which no slot was granted.
	 * @param service the name of the service
	 * @param cause the cause of the refusal
	 */
	public void countRefusal(String service, String cause) {
		this.refusals.withTags(SERVICE_TAG, service, "cause", cause).increment();
	}

	/**
	 * Counts an event of a hedged request.
	 * @param service the name of the service
	 * @param event what happened
	 */
	public void countHedge(String service, String event) {
		this.hedges.withTags(SERVICE_TAG, service, "event", event).increment();
	}

	@Override
	public void offered(ServiceName service) {
		countHedge(service.value(), "offered");
	}

	@Override
	public void refused(ServiceName service, HedgeRefusal cause) {
		this.hedgeRefusals.withTags(SERVICE_TAG, service.value(), "cause", cause.name()).increment();
	}

	/**
	 * Counts a response that was ended before its end because it was late.
	 * @param service the name of the service
	 * @param cause why it was ended
	 */
	public void countLateResponse(String service, String cause) {
		this.lateResponses.withTags(SERVICE_TAG, service, "cause", cause).increment();
	}

	/**
	 * Counts a request that was denied because of its credential or client account.
	 * @param account the name of the account, empty if it is not known
	 * @param cause the cause of the denial
	 */
	public void countDenial(String account, String cause) {
		this.denials.withTags("account", account, "cause", cause).increment();
	}

	/**
	 * Counts a request of a client account that has a rate limit.
	 * @param account the name of the account
	 * @param decision how the request was decided
	 */
	public void countLimitDecision(String account, String decision) {
		this.limitDecisions.withTags("account", account, "decision", decision).increment();
	}

	/**
	 * Records the time that a request waited until its slot was granted or refused.
	 * @param service the name of the service
	 * @param waitMs the time in milliseconds
	 */
	public void recordSlotWait(String service, long waitMs) {
		this.slotWaits.withTags(SERVICE_TAG, service).record(Duration.ofMillis(waitMs));
	}

	/**
	 * Counts a connection opened to a backend server.
	 * @param service the name of the service
	 */
	public void countConnection(String service) {
		this.connections.withTags(SERVICE_TAG, service).increment();
	}

	/**
	 * Counts a backend server that announced in a response that it is leaving.
	 * @param service the name of the service
	 */
	public void countLeaving(String service) {
		this.leavingServers.withTags(SERVICE_TAG, service).increment();
	}

	/**
	 * Counts a rejection by a backend server that wants no requests for some time.
	 * @param service the name of the service
	 */
	public void countPause(String service) {
		this.pauses.withTags(SERVICE_TAG, service).increment();
	}

	/**
	 * Counts data from a backend server or an entry VM that is no part of the expected
	 * response.
	 * @param service the name of the service
	 * @param kind what the data is
	 */
	public void countUnexpectedData(String service, String kind) {
		this.unexpectedData.withTags(SERVICE_TAG, service, "kind", kind).increment();
	}

	/**
	 * Counts a read of the platform.
	 * @param succeeded whether the read returned the published state
	 */
	public void countPlatformRead(boolean succeeded) {
		this.platformReads.increment();
		if (!succeeded) {
			this.failedPlatformReads.increment();
		}
	}

	/**
	 * Counts a part of a message that could not be written although its connection was
	 * open.
	 * @param receiver {@code caller} or {@code server}
	 */
	public void countFailedWrite(String receiver) {
		this.failedWrites.withTags("receiver", receiver).increment();
	}

	/**
	 * Counts a connection of a caller that was closed.
	 * @param reason the reason
	 * @param requestCut whether a request on it was unanswered or had arrived in part
	 */
	public void countCallerClose(String reason, boolean requestCut) {
		this.callerCloses.withTags("reason", reason, "cut", Boolean.toString(requestCut)).increment();
	}

	/**
	 * Records by how much the periodic work of the event loop was late.
	 * @param delayMs the delay in milliseconds
	 */
	public void recordLoopDelay(long delayMs) {
		this.loopDelays.record(Duration.ofMillis(delayMs));
	}

	/**
	 * Counts a request that was started while an earlier one on its connection was in
	 * progress.
	 */
	public void countPipelinedRequest() {
		this.pipelinedRequests.increment();
	}

	/**
	 * Counts a response that waited until earlier ones on its connection were sent.
	 * @param bytes the size of what had arrived of it at its turn, in bytes
	 */
	public void countWaitingResponse(long bytes) {
		this.waitingResponses.increment();
		this.waitingResponseBytes.increment(bytes);
	}

	/**
	 * Counts a response that failed before its turn and was replaced.
	 */
	public void countReplacedResponse() {
		this.replacedResponses.increment();
	}

	/**
	 * Counts a health check of a backend server.
	 */
	public void countHealthCheck() {
		this.healthChecks.increment();
	}

	/**
	 * Returns the current values of all metrics.
	 * @return the metrics in the Prometheus text format
	 */
	public String scrape() {
		return this.registry.scrape();
	}

}
