package org.lovagevale.standins.backend;

import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.standins.http.EnumCounters;
import org.lovagevale.standins.http.GeneratedBody;
import org.lovagevale.standins.http.Json;
import org.lovagevale.standins.http.ReceivedBody;
import org.reactivestreams.Publisher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SignalType;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.util.retry.Retry;

/**
 * Simulates a backend server of a service.
 *
 * <p>
 * It runs requests in a limited number of slots, queues further ones and rejects those
 * for which the queue has no room. It reports its load, simulates cold starts and
 * draining, crashes on requests that contain the crash marker, and enforces deadlines. A
 * request counts as run once it occupies a slot and its body has been received
 * completely. Thread-safe.
 */
public final class BackendStandIn implements AutoCloseable {

	private static final Logger log = LoggerFactory.getLogger(BackendStandIn.class);

	private static final Duration BIND_RETRY_DELAY = Duration.ofMillis(50);

	private static final int MAX_BIND_RETRIES = 100;

	private static final int INTERNAL_ERROR = 500;

	private static final int UNAVAILABLE = 503;

	private static final String LOAD_HEADER = "Lovagevale-Load";

	private final String name;

	private final String host;

	private final int port;

	private final Clock clock;

	private final RunLog runs;

	private final EnumCounters<BackendCounter> counters = new EnumCounters<>(BackendCounter.class);

	private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final LoadHistory loadHistory = new LoadHistory();

	private volatile Behaviour behaviour;

	private volatile ServerInstance instance;

	private volatile @Nullable DisposableServer server;

	private volatile boolean closed;

	/**
	 * Creates a server that does not listen yet.
	 * @param name its name
	 * @param host the address to listen on
	 * @param port the port to listen on, 0 for any
	 * @param behaviour the initial behaviour
	 * @param cold whether the server starts cold
	 * @param clock the clock
	 * @param runs the log to which each run is added
	 */
	public BackendStandIn(String name, String host, int port, Behaviour behaviour, boolean cold, Clock clock,
			RunLog runs) {
		this.name = name;
		this.host = host;
		this.port = port;
		this.clock = clock;
		this.runs = runs;
		this.behaviour = behaviour;
		this.instance = newInstance(cold);
	}

	/**
	 * Starts to listen and returns once the port is bound.
	 */
	public void start() {
		this.server = httpServer(this.port).bindNow();
	}

	/**
	 * Returns the name.
	 * @return the name of the server
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the port.
	 * @return the port that the server listens on, also while it is stopped
	 */
	public int port() {
		DisposableServer current = this.server;
		return (current != null) ? current.port() : this.port;
	}

	/**
	 * Returns the value of a counter.
	 * @param counter the counter
	 * @return the value
	 */
	public long count(BackendCounter counter) {
		return this.counters.get(counter);
	}

	/**
	 * Returns the current behaviour.
	 * @return the behaviour
	 */
	public Behaviour behaviour() {
		return this.behaviour;
	}

	/**
	 * Changes the behaviour.
	 * @param change computes the new behaviour from the current one
	 */
	public synchronized void change(UnaryOperator<Behaviour> change) {
		this.behaviour = change.apply(this.behaviour);
	}

	/**
	 * Changes members of the behaviour.
	 * @param members the members to replace, by name, with their new values
	 * @throws IllegalArgumentException if the behaviour has no such member
	 */
	public void change(JsonNode members) {
		change((current) -> Json.replaceMembers(current, Behaviour.class, members));
	}

	/**
	 * Makes the server warm.
	 */
	public void endColdStart() {
		this.instance.slots().endColdStart();
	}

	/**
	 * Makes the server cold again while keeping its boot identifier, so that only its
	 * next load report shows the change.
	 */
	public void makeCold() {
		this.instance = new ServerInstance(this.instance.boot(), new WorkSlots(() -> this.behaviour, this.clock, true));
	}

	/**
	 * Closes all connections, stops listening, and restarts cold with a new boot
	 * identifier after {@link Behaviour#restartMs()}.
	 */
	public void crash() {
		this.counters.increment(BackendCounter.CRASHES);
		int portInUse = port();
		stop();
		long delay = this.behaviour.restartMs();
		Mono.delay(Duration.ofMillis(delay)).subscribe((tick) -> restart(portInUse));
	}

	/**
	 * Closes all connections and stops listening until {@link #restart(int)}.
	 */
	public void stop() {
		DisposableServer current = this.server;
		if (current != null) {
			current.dispose();
		}
		this.connections.close();
	}

	/**
	 * Restarts the server cold and with a new boot identifier. Does nothing after
	 * {@link #close()}.
	 * @param listenPort the port to listen on
	 */
	public void restart(int listenPort) {
		if (this.closed) {
			return;
		}
		this.instance = newInstance(true);
		httpServer(listenPort).bind()
			.retryWhen(Retry.fixedDelay(MAX_BIND_RETRIES, BIND_RETRY_DELAY))
			.subscribe(this::onRestarted, (ex) -> log.error("event=backend.restart-failed server={} error=\"{}\"",
					this.name, ex.getMessage()));
	}

	/**
	 * Returns the statistics.
	 * @return the current state and the counters
	 */
	public BackendStats stats() {
		ServerInstance serverInstance = this.instance;
		DisposableServer current = this.server;
		return new BackendStats(this.name, port(), serverInstance.boot(), actualState(serverInstance),
				current != null && !current.isDisposed(), serverInstance.slots().inFlight(),
				serverInstance.slots().maxInFlight(), this.connections.size(), this.counters.toMap());
	}

	@Override
	public void close() {
		this.closed = true;
		stop();
	}

	private void onRestarted(DisposableServer bound) {
		this.server = bound;
		if (this.closed) {
			bound.dispose();
		}
		log.info("event=backend.restarted server={} port={} boot={}", this.name, bound.port(), this.instance.boot());
	}

	private ServerInstance newInstance(boolean cold) {
		String boot = HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextInt());
		return new ServerInstance(boot, new WorkSlots(() -> this.behaviour, this.clock, cold));
	}

	private HttpServer httpServer(int listenPort) {
		return HttpServer.create()
			.bindAddress(() -> new InetSocketAddress(this.host, listenPort))
			.doOnChannelInit((observer, channel, remote) -> onConnection(channel))
			.handle(this::handle);
	}

	private void onConnection(Channel channel) {
		this.counters.increment(BackendCounter.CONNECTIONS);
		if (this.connections.size() >= this.behaviour.maxConnections()) {
			this.counters.increment(BackendCounter.CONNECTIONS_REFUSED);
			channel.close();
			return;
		}
		this.connections.add(channel);
	}

	private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
		if (request.fullPath().equals("/health")) {
			return health(response);
		}
		this.counters.increment(BackendCounter.REQUESTS);
		RequestContext context = new RequestContext(this.instance, BackendRequest.read(request), response,
				new RequestExecution());
		Behaviour current = this.behaviour;
		if (current.draining()) {
			this.counters.increment(BackendCounter.DRAIN_ARRIVALS);
			return reject(context, "draining");
		}
		if (isExpired(context)) {
			this.counters.increment(BackendCounter.EXPIRED);
			return reject(context, "deadline passed");
		}
		if (current.failFast()) {
			this.counters.increment(BackendCounter.FAILED_FAST);
			return addLoadHeader(context).status(INTERNAL_ERROR).sendString(Mono.just("failed\n"));
		}
		return admit(context, request.receive());
	}

	private Publisher<Void> health(HttpServerResponse response) {
		this.counters.increment(BackendCounter.HEALTH_READS);
		response.header(LOAD_HEADER, loadReport(this.instance, this.instance.slots().inFlight()));
		return switch (this.behaviour.health()) {
			case OK -> response.sendString(Mono.just("ok\n"));
			case ERROR -> response.status(INTERNAL_ERROR).sendString(Mono.just("error\n"));
			case HANG -> Mono.never();
		};
	}

	private Publisher<Void> admit(RequestContext context, Flux<ByteBuf> body) {
		WorkSlots slots = context.instance().slots();
		WorkSlots.OfferResult offered = slots.offer(context.execution());
		if (offered.coldViolation()) {
			this.counters.increment(BackendCounter.COLD_VIOLATIONS);
		}
		if (!offered.accepted()) {
			this.counters.increment(BackendCounter.SHED);
			return reject(context, "queue full");
		}
		recordInFlight(context);
		return Mono.zip(ReceivedBody.read(body), context.execution().startSignal())
			.flatMap((bodyAndStart) -> run(context, bodyAndStart.getT1()))
			.doFinally((signal) -> onFinished(context, signal));
	}

	private Mono<Void> run(RequestContext context, ReceivedBody body) {
		if (isExpired(context)) {
			this.counters.increment(BackendCounter.EXPIRED);
			finishExecution(context, false);
			return Mono.from(reject(context, "deadline passed"));
		}
		this.counters.increment(BackendCounter.RUNS);
		this.runs.add(toRun(context));
		if (context.request().crashHeader() || body.text().contains(BackendRequest.CRASH_MARKER)) {
			crash();
			return Mono.error(new ClosedChannelException());
		}
		Duration time = serviceTime(context);
		Mono<Long> serviceDelay = time.isZero() ? Mono.just(0L) : Mono.delay(time, Schedulers.parallel());
		return serviceDelay.flatMap((tick) -> Mono.from(respond(context, body)));
	}

	private Duration serviceTime(RequestContext context) {
		Behaviour current = this.behaviour;
		double factor = current.latencyFactor() * context.instance().slots().slowdownFactor();
		long requestedMs = context.request().options().serviceMs();
		ServiceTime time = (requestedMs >= 0) ? ServiceTime.fixed(requestedMs)
				: current.serviceTimeFor(context.request().path());
		return time.sample(ThreadLocalRandom.current(), factor);
	}

	private Publisher<Void> respond(RequestContext context, ReceivedBody body) {
		BackendRequest.ResponseOptions options = context.request().options();
		HttpServerResponse response = addLoadHeader(context).status(options.status());
		if (options.bytes() < 0) {
			String json = Json.write(toEchoBody(context, body));
			return response.header("Content-Type", "application/json").sendString(Mono.just(json + "\n"));
		}
		response.header("Content-Length", Long.toString(options.bytes()));
		Flux<ByteBuf> chunks = new GeneratedBody(options.seed(), options.bytes()).chunks();
		return response.send((options.cutAfter() < 0) ? chunks : truncate(chunks, options.cutAfter()));
	}

	private static Flux<ByteBuf> truncate(Flux<ByteBuf> chunks, long maxBytes) {
		long wholeChunks = maxBytes / GeneratedBody.CHUNK_BYTES;
		return chunks.take(wholeChunks).concatWith(Flux.error(new ClosedChannelException()));
	}

	private Publisher<Void> reject(RequestContext context, String reason) {
		return addLoadHeader(context).status(UNAVAILABLE)
			.header("Lovagevale-Not-Run", "true")
			.sendString(Mono.just(reason + "\n"));
	}

	private HttpServerResponse addLoadHeader(RequestContext context) {
		WorkSlots slots = context.instance().slots();
		int ownSlot = (context.execution().stage() == RequestExecution.ExecutionStage.RUNNING) ? 1 : 0;
		String report = loadReport(context.instance(), Math.max(0, slots.inFlight() - ownSlot));
		return context.response().header(LOAD_HEADER, report);
	}

	private String loadReport(ServerInstance serverInstance, int actualInFlight) {
		Behaviour current = this.behaviour;
		int inFlight = actualInFlight;
		if (current.reportInFlight() >= 0) {
			inFlight = current.reportInFlight();
		}
		else if (current.reportDelayMs() > 0) {
			inFlight = this.loadHistory.inFlightAt(this.clock.millis() - current.reportDelayMs());
		}
		String state = current.reportState().isEmpty() ? actualState(serverInstance) : current.reportState();
		return "inflight=" + inFlight + "; slots=" + current.slots() + "; state=" + state + "; boot="
				+ serverInstance.boot();
	}

	private String actualState(ServerInstance serverInstance) {
		if (this.behaviour.draining()) {
			return "draining";
		}
		return serverInstance.slots().isCold() ? "cold" : "warm";
	}

	private boolean isExpired(RequestContext context) {
		long now = this.clock.epochMillis() + this.behaviour.clockOffsetMs();
		return now >= context.request().deadlineMs();
	}

	private void onFinished(RequestContext context, SignalType signal) {
		RequestExecution.ExecutionStage stage = finishExecution(context, signal == SignalType.ON_COMPLETE);
		if (signal == SignalType.ON_COMPLETE && stage == RequestExecution.ExecutionStage.RUNNING) {
			this.counters.increment(BackendCounter.ANSWERS);
		}
		if (signal == SignalType.CANCEL && stage == RequestExecution.ExecutionStage.QUEUED) {
			this.counters.increment(BackendCounter.CANCELLED_QUEUED);
		}
		if (signal == SignalType.CANCEL && stage == RequestExecution.ExecutionStage.RUNNING) {
			this.counters.increment(BackendCounter.CANCELLED_RUNNING);
		}
	}

	private RequestExecution.ExecutionStage finishExecution(RequestContext context, boolean answered) {
		RequestExecution.ExecutionStage stage = context.instance().slots().finish(context.execution(), answered);
		recordInFlight(context);
		return stage;
	}

	private void recordInFlight(RequestContext context) {
		this.loadHistory.add(this.clock.millis(), context.instance().slots().inFlight());
	}

	private Run toRun(RequestContext context) {
		BackendRequest request = context.request();
		return new Run(this.name, context.instance().boot(), request.method(), request.uri(), request.key(),
				request.requestId(), request.attempt(), request.account(), this.clock.epochMillis(),
				context.instance().slots().isCold());
	}

	private EchoBody toEchoBody(RequestContext context, ReceivedBody body) {
		BackendRequest request = context.request();
		return new EchoBody(this.name, context.instance().boot(), request.method(), request.uri(), request.key(),
				request.requestId(), body.length(), body.sha256());
	}

	/**
	 * The state of the server from one start, or return to the cold state, to the next.
	 *
	 * @param boot the boot identifier
	 * @param slots the slots and the queue
	 */
	private record ServerInstance(String boot, WorkSlots slots) {
	}

	/**
	 * A request and the state needed to handle it.
	 *
	 * @param instance the server instance that received the request
	 * @param request the request head
	 * @param response the response to write
	 * @param execution the execution state of the request
	 */
	private record RequestContext(ServerInstance instance, BackendRequest request, HttpServerResponse response,
			RequestExecution execution) {
	}

	/**
	 * The default response body, which describes the request as received.
	 *
	 * @param server the name of the server
	 * @param boot its boot identifier
	 * @param method the HTTP method
	 * @param path the path with query
	 * @param key the idempotency key, empty if none
	 * @param requestId the request identifier, empty if none
	 * @param length the length of the request body in bytes
	 * @param sha256 the SHA-256 digest of the request body in hexadecimal digits
	 */
	private record EchoBody(String server, String boot, String method, String path, String key, String requestId,
			long length, String sha256) {
	}

}
