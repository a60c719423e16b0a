package org.lovagevale.standins.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.SystemClock;
import org.lovagevale.standins.http.ControlEndpoints;
import org.lovagevale.standins.http.EnumCounters;
import org.lovagevale.standins.http.Json;
import org.reactivestreams.Publisher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * A stand-in for the settings service and the VM list of the platform.
 *
 * <p>
 * It can simulate outages, stale responses, rate limiting and a lagging VM list.
 * Thread-safe.
 */
public final class PlatformStandIn implements AutoCloseable {

	/** The maximum length of a settings tree in characters. */
	public static final int MAX_CONTENT_CHARACTERS = 1_048_576;

	/** The default limit of reads of the settings per second. */
	public static final int DEFAULT_READS_PER_SECOND = 2_000;

	private static final Logger log = LoggerFactory.getLogger(PlatformStandIn.class);

	private static final Duration FILE_POLL_INTERVAL = Duration.ofMillis(100);

	private static final int NOT_MODIFIED = 304;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	private final Clock clock = new SystemClock();

	private final SettingsStore settings = new SettingsStore(this.clock);

	private final VmList vms = new VmList(this.clock, 0);

	private final ReadRateLimiter rateLimiter = new ReadRateLimiter(this.clock, DEFAULT_READS_PER_SECOND);

	private final EnumCounters<PlatformCounter> counters = new EnumCounters<>(PlatformCounter.class);

	private volatile OutageMode outage = OutageMode.NONE;

	private @Nullable DisposableServer server;

	private @Nullable Disposable fileWatch;

	/**
	 * Starts to listen and returns once the port is bound.
	 * @param host the address to listen on
	 * @param port the port, 0 for any
	 * @return the port in use
	 */
	public int start(String host, int port) {
		DisposableServer bound = HttpServer.create()
			.bindAddress(() -> new InetSocketAddress(host, port))
			.route(this::addRoutes)
			.bindNow();
		this.server = bound;
		return bound.port();
	}

	/**
	 * Returns the published versions of the settings tree.
	 * @return the store of the settings
	 */
	public SettingsStore settings() {
		return this.settings;
	}

	/**
	 * Returns the VM list.
	 * @return the list
	 */
	public VmList vms() {
		return this.vms;
	}

	/**
	 * Returns the value of a counter.
	 * @param counter the counter
	 * @return the value
	 */
	public long count(PlatformCounter counter) {
		return this.counters.get(counter);
	}

	/**
	 * Starts or ends an outage.
	 * @param mode the failure to simulate
	 */
	public void setOutage(OutageMode mode) {
		this.outage = mode;
	}

	/**
	 * Sets the limit of reads of the settings per second.
	 * @param reads the number of reads, not negative
	 */
	public void setReadsPerSecond(int reads) {
		this.rateLimiter.setReadsPerSecond(reads);
	}

	/**
	 * Publishes a settings tree and adds the entry VMs and backend servers that it names
	 * to the VM list, unless they are listed already.
	 * @param content the settings tree
	 * @return the version of the tree
	 * @throws IllegalArgumentException if the tree is longer than
	 * {@link #MAX_CONTENT_CHARACTERS}
	 */
	public long publish(String content) {
		if (content.length() > MAX_CONTENT_CHARACTERS) {
			throw new IllegalArgumentException(
					"the tree has " + content.length() + " characters; the limit is " + MAX_CONTENT_CHARACTERS);
		}
		Map<String, VmState> listed = this.vms.visible();
		for (String name : SettingsTreeNames.find(content)) {
			if (!listed.containsKey(name)) {
				this.vms.addLive(name);
			}
		}
		long version = this.settings.publish(content);
		log.info("event=settings.published version={} characters={}", version, content.length());
		return version;
	}

	/**
	 * Publishes the content of a file, now and after each change of the file.
	 * @param file the file with the settings tree
	 */
	public void publishFile(Path file) {
		String first = readFile(file);
		publish(first);
		this.fileWatch = Flux.interval(FILE_POLL_INTERVAL, Schedulers.boundedElastic())
			.onBackpressureDrop()
			.map((tick) -> readFile(file))
			.scan(first, this::publishIfChanged)
			.onErrorContinue((ex, value) -> log.warn("event=settings.file-unreadable error=\"{}\"", ex.getMessage()))
			.subscribe();
	}

	@Override
	public void close() {
		if (this.fileWatch != null) {
			this.fileWatch.dispose();
		}
		if (this.server != null) {
			this.server.dispose();
		}
	}

	private String publishIfChanged(String previous, String current) {
		if (!current.equals(previous)) {
			publish(current);
		}
		return current;
	}

	private static String readFile(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot read settings file " + file, ex);
		}
	}

	private void addRoutes(HttpServerRoutes routes) {
		routes.get("/settings",
				(request, response) -> handleUnlessOutage(response, () -> readSettings(request, response)));
		routes.get("/vms", (request, response) -> handleUnlessOutage(response, () -> readVms(response)));
		new ControlEndpoints(routes).get("/control/stats", (query) -> stats())
			.postText("/control/publish", (content) -> Map.of("version", publish(content)))
			.post("/control/set", this::setOptions)
			.post("/control/vms", this::setVmState)
			.post("/control/stale", this::setStale);
	}

	private Publisher<Void> handleUnlessOutage(HttpServerResponse response, Supplier<Publisher<Void>> handler) {
		OutageMode mode = this.outage;
		if (mode != OutageMode.NONE) {
			this.counters.increment(PlatformCounter.OUTAGE_FAILURES);
		}
		return switch (mode) {
			case NONE -> handler.get();
			case ERROR -> response.status(UNAVAILABLE).send();
			case HANG -> Mono.never();
			case CLOSE -> close(response);
		};
	}

	private static Publisher<Void> close(HttpServerResponse response) {
		response.withConnection((connection) -> connection.channel().close());
		return Mono.never();
	}

	private Publisher<Void> readSettings(HttpServerRequest request, HttpServerResponse response) {
		QueryStringDecoder query = new QueryStringDecoder(request.uri());
		long waitMs = longParameter(query, "waitMs");
		this.counters.increment(PlatformCounter.SETTINGS_READS);
		if (waitMs > 0) {
			this.counters.increment(PlatformCounter.WATCHES);
		}
		if (!this.rateLimiter.tryAcquire()) {
			this.counters.increment(PlatformCounter.THROTTLED);
			return response.status(TOO_MANY_REQUESTS).send();
		}
		return this.settings.read(longParameter(query, "after"), waitMs)
			.map((published) -> sendTree(response, published))
			.defaultIfEmpty(Mono.defer(() -> sendUnchanged(response)))
			.flatMap(Mono::from);
	}

	private Mono<Void> sendTree(HttpServerResponse response, PublishedSettings published) {
		return Mono.defer(() -> {
			if (this.outage != OutageMode.NONE) {
				return response.status(UNAVAILABLE).send();
			}
			this.counters.increment(PlatformCounter.TREES);
			return response.header("Settings-Version", Long.toString(published.version()))
				.header("Content-Type", "application/json")
				.sendString(Mono.just(published.content()))
				.then();
		});
	}

	private Mono<Void> sendUnchanged(HttpServerResponse response) {
		if (this.outage != OutageMode.NONE) {
			return response.status(UNAVAILABLE).send();
		}
		this.counters.increment(PlatformCounter.UNCHANGED);
		return response.status(NOT_MODIFIED).send();
	}

	private Publisher<Void> readVms(HttpServerResponse response) {
		this.counters.increment(PlatformCounter.VM_READS);
		List<Map<String, String>> list = this.vms.visible()
			.entrySet()
			.stream()
			.map((entry) -> Map.of("name", entry.getKey(), "state", entry.getValue().name().toLowerCase(Locale.ROOT)))
			.toList();
		return response.header("Content-Type", "application/json")
			.sendString(Mono.just(Json.write(Map.of("vms", list))));
	}

	private static long longParameter(QueryStringDecoder query, String name) {
		List<String> values = query.parameters().get(name);
		return (values != null) ? Long.parseLong(values.get(0)) : 0;
	}

	private PlatformStats stats() {
		return new PlatformStats(this.settings.served().version(), this.outage, this.rateLimiter.peakReadsPerSecond(),
				this.counters.toMap(), this.vms.visible());
	}

	private PlatformStats setOptions(JsonNode body) {
		body.fieldNames().forEachRemaining((name) -> setOption(name, body.path(name)));
		return stats();
	}

	private void setOption(String name, JsonNode value) {
		switch (name) {
			case "outage" -> setOutage(OutageMode.valueOf(value.asText().toUpperCase(Locale.ROOT)));
			case "readsPerSecond" -> setReadsPerSecond(value.asInt());
			case "vmLagMs" -> this.vms.setLagMs(value.asLong());
			default -> throw new IllegalArgumentException("no setting named \"" + name + "\"");
		}
	}

	private PlatformStats setVmState(JsonNode body) {
		VmState state = VmState.valueOf(body.path("state").asText().toUpperCase(Locale.ROOT));
		this.vms.setState(body.path("name").asText(), state);
		return stats();
	}

	private PlatformStats setStale(JsonNode body) {
		this.settings.serveStale(body.path("version").asLong(), body.path("durationMs").asLong());
		return stats();
	}

	/**
	 * Statistics of the platform stand-in, as returned by the control port.
	 *
	 * @param servedVersion the settings version that is served
	 * @param outage the simulated failure
	 * @param peakReadsPerSecond the largest number of reads of the settings in one
	 * second, including rejected ones
	 * @param counters the counters by name
	 * @param vms the states of the VMs in the VM list, by name
	 */
	public record PlatformStats(long servedVersion, OutageMode outage, int peakReadsPerSecond,
			Map<String, Long> counters, Map<String, VmState> vms) {
	}

}
