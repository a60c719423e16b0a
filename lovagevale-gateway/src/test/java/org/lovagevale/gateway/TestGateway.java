package org.lovagevale.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.channel.Channel;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.SystemClock;
import org.lovagevale.core.catalog.AccountTable;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.catalog.CatalogItem;
import org.lovagevale.core.catalog.ClientAccount;
import org.lovagevale.core.catalog.PublishedItem;
import org.lovagevale.core.catalog.RequestKind;
import org.lovagevale.core.catalog.RequestLimits;
import org.lovagevale.core.catalog.Route;
import org.lovagevale.core.catalog.RouteTable;
import org.lovagevale.core.catalog.ServiceSpec;
import org.lovagevale.core.catalog.ServingConfiguration;
import org.lovagevale.core.catalog.TrafficShare;
import org.lovagevale.core.placing.PlacingLimits;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An entry process on loopback that reads its catalog from memory.
 */
final class TestGateway implements AutoCloseable {

	static final ServiceName SERVICE = new ServiceName("balances");

	static final FailureDomain DOMAIN = new FailureDomain("west-1");

	static final Region REGION = new Region("west");

	private static final int MAX_KEPT_BYTES = 1_000_000;

	private static final long STOP_MS = 3_000;

	/**
	 * Time without tasks after which the event loop ends. With zero, a loop that runs a
	 * task when its shutdown begins ends without closing its channels.
	 */
	private static final Duration QUIET_PERIOD = Duration.ofMillis(50);

	private final ObservedLoops loops = new ObservedLoops(LoopResources.create("test", 1, true));

	private final Map<String, CatalogItem> published = new HashMap<>();

	private final GatewayProcess process;

	private final HostPort callerAddress;

	private final HostPort peerAddress;

	private Set<Region> homeRegions = Set.of();

	private @Nullable AccountTable accounts;

	private volatile boolean storeDown;

	private long maxBodyBytes = 100_000;

	private long revision;

	TestGateway(List<HostPort> seeds) throws GatewayException {
		this(TestAddresses.host(1), DOMAIN, REGION, seeds);
	}

	TestGateway(List<HostPort> seeds, long memoryLimitBytes) throws GatewayException {
		this(seeds, STOP_MS, memoryLimitBytes);
	}

	TestGateway(List<HostPort> seeds, long stopMs, long memoryLimitBytes) throws GatewayException {
		this(TestAddresses.host(1), DOMAIN, REGION, seeds, stopMs,
				new MemoryLimits(memoryLimitBytes, MemoryLimits.forThisJvm().responseBytes()));
	}

	TestGateway(List<HostPort> seeds, MemoryLimits memoryLimits) throws GatewayException {
		this(TestAddresses.host(1), DOMAIN, REGION, seeds, STOP_MS, memoryLimits);
	}

	TestGateway(String host, FailureDomain domain, Region region, List<HostPort> seeds) throws GatewayException {
		this(host, domain, region, seeds, STOP_MS, MemoryLimits.forThisJvm());
	}

	private TestGateway(String host, FailureDomain domain, Region region, List<HostPort> seeds, long stopMs,
			MemoryLimits memoryLimits) throws GatewayException {
		this(host, domain, region, seeds, stopMs, memoryLimits, 0);
	}

	private TestGateway(String host, FailureDomain domain, Region region, List<HostPort> seeds, long stopMs,
			MemoryLimits memoryLimits, double secondSendShare) throws GatewayException {
		this(host, domain, region, seeds, stopMs, memoryLimits, secondSendShare, false);
	}

	private TestGateway(String host, FailureDomain domain, Region region, List<HostPort> seeds, long stopMs,
			MemoryLimits memoryLimits, double secondSendShare, boolean regionOverflow) throws GatewayException {
		this.callerAddress = TestAddresses.next(host);
		this.peerAddress = TestAddresses.next(host);
		// The part of the retry budget that is earned by time alone would delay the first
		// hedged request.
		double retryExtra = (secondSendShare > 0) ? 0 : 60;
		GatewaySettings settings = new GatewaySettings("test", domain, region, 100, this.callerAddress,
				this.peerAddress, seeds,
				new PlacingLimits(0.2, 10_000, retryExtra, 1, 1.5, 5, secondSendShare, regionOverflow), stopMs, 1_000);
		this.process = new GatewayProcess(settings, new SystemClock(), new SeededRandom(1), this.loops,
				(silenceMs) -> Mono.fromSupplier(this::readCatalog), (item) -> this.published.get(item.key()),
				new TestProtocol(), memoryLimits);
	}

	/**
	 * Creates a gateway that hedges requests.
	 * @param share the permitted hedged requests per first attempt
	 * @return the gateway
	 * @throws GatewayException if it cannot be created
	 */
	static TestGateway withSecondSendShare(double share) throws GatewayException {
		return withSecondSendShare(share, TestAddresses.host(1), List.of());
	}

	/**
	 * Creates a gateway whose dispatchers move requests to other regions.
	 * @param host the IP address
	 * @param domain the failure domain
	 * @param region the region
	 * @param seeds the seeds
	 * @return the gateway
	 * @throws GatewayException if it cannot be created
	 */
	static TestGateway withRegionOverflow(String host, FailureDomain domain, Region region, List<HostPort> seeds)
			throws GatewayException {
		return new TestGateway(host, domain, region, seeds, STOP_MS, MemoryLimits.forThisJvm(), 0, true);
	}

	static TestGateway withSecondSendShare(double share, String host, List<HostPort> seeds) throws GatewayException {
		return new TestGateway(host, DOMAIN, REGION, seeds, STOP_MS, MemoryLimits.forThisJvm(), share);
	}

	private synchronized CatalogState readCatalog() {
		if (this.storeDown) {
			throw new IllegalStateException("store is down");
		}
		List<PublishedItem> items = new ArrayList<>();
		this.published.keySet().forEach((key) -> items.add(new PublishedItem(key, this.revision, "")));
		return new CatalogState(items, this.revision);
	}

	/**
	 * Publishes a configuration with the routes {@code /read/}, which is idempotent, and
	 * {@code /write/}, which is not.
	 * @param timeoutMs the timeout of both routes, in milliseconds
	 * @return this gateway
	 */
	synchronized TestGateway publishConfiguration(long timeoutMs) {
		this.revision++;
		Route readRoute = route("read", "/read/", RequestKind.IDEMPOTENT, timeoutMs);
		Route writeRoute = route("write", "/write/", RequestKind.NON_IDEMPOTENT, timeoutMs);
		this.published.put("config",
				new CatalogItem.PublishedConfiguration(new ServingConfiguration(this.revision,
						RouteTable.of(List.of(readRoute, writeRoute, publicRoute(timeoutMs))),
						Map.of(SERVICE, new ServiceSpec(SERVICE, "/health", 100, 0, 4)),
						new RequestLimits(8_192, this.maxBodyBytes, 400, 3_000), this.accounts)));
		return this;
	}

	HostPort callerAddress() {
		return this.callerAddress;
	}

	HostPort peerAddress() {
		return this.peerAddress;
	}

	/**
	 * Sets the home regions of the routes in the next configuration.
	 * @param regions the home regions; none if requests may be served in every region
	 * @return this gateway
	 */
	TestGateway setHomeRegions(Region... regions) {
		this.homeRegions = Set.of(regions);
		return this;
	}

	/**
	 * Sets the limit on the bodies of requests in the next configuration.
	 * @param bytes the limit in bytes
	 * @return this gateway
	 */
	TestGateway setMaxBodyBytes(long bytes) {
		this.maxBodyBytes = bytes;
		return this;
	}

	/**
	 * Sets the client accounts of the next configuration.
	 * @param newAccounts the accounts
	 * @return this gateway
	 */
	TestGateway setAccounts(ClientAccount... newAccounts) {
		this.accounts = AccountTable.of(List.of(newAccounts));
		return this;
	}

	/**
	 * Sets whether reads of the store fail.
	 * @param down whether they fail
	 */
	void setStoreDown(boolean down) {
		this.storeDown = down;
	}

	private Route publicRoute(long timeoutMs) {
		return new Route("public", "a.example", "/public/", RequestKind.IDEMPOTENT, timeoutMs, 400, 1, 2,
				List.of(new TrafficShare(SERVICE, 1)), this.homeRegions, true);
	}

	private Route route(String name, String prefix, RequestKind kind, long timeoutMs) {
		return new Route(name, "a.example", prefix, kind, timeoutMs, 400, 1, 2, List.of(new TrafficShare(SERVICE, 1)),
				this.homeRegions);
	}

	TestGateway publishServer(String id, int port) {
		return publishServer(id, port, 1);
	}

	TestGateway publishServer(String id, int port, long startedAtEpochMs) {
		return publishServer(id, port, DOMAIN, REGION, startedAtEpochMs);
	}

	synchronized TestGateway publishServer(String id, int port, FailureDomain domain, Region region,
			long startedAtEpochMs) {
		this.revision++;
		this.published.put(id, new CatalogItem.ListedServer(new BackendInstance(new ServerName(id), SERVICE,
				"127.0.0.1", port, domain, region, 3, false, 0, startedAtEpochMs), 1));
		return this;
	}

	TestGateway start() throws GatewayException, InterruptedException {
		this.process.start();
		for (int i = 0; i < 200 && !this.process.isReady(); i++) {
			Thread.sleep(20);
		}
		return this;
	}

	GatewayProcess process() {
		return this.process;
	}

	ObservedLoops loops() {
		return this.loops;
	}

	/**
	 * Returns the channel that accepts the connections of callers.
	 * @return the listening channel
	 */
	Channel listening() {
		return this.loops.listening(this.callerAddress.port());
	}

	long heldBytes() {
		return this.process.loop().submit(() -> this.process.memory().heldBytes()).syncUninterruptibly().getNow();
	}

	long heldResponseBytes() {
		return this.process.loop()
			.submit(() -> this.process.responseMemory().heldBytes())
			.syncUninterruptibly()
			.getNow();
	}

	Socket connect() throws IOException {
		Socket socket = new Socket(this.callerAddress.host(), this.callerAddress.port());
		socket.setSoTimeout(5_000);
		return socket;
	}

	static String getRequest(String path, String id) {
		return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nTest-Id: " + id + "\r\nTest-Time: 3000\r\n\r\n";
	}

	static String postRequest(String path, String id, String body) {
		return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nTest-Id: " + id
				+ "\r\nTest-Time: 3000\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	/**
	 * Sends a request on a new connection and reads one response.
	 * @param request the request, which need not be complete or valid
	 * @return the head and the body, or the data received before the connection was
	 * closed
	 * @throws IOException if the connection fails or no data arrives in time
	 */
	String exchange(String request) throws IOException {
		try (Socket socket = connect()) {
			TestServer.write(socket, request);
			return readResponse(socket);
		}
	}

	static String readResponse(Socket socket) throws IOException {
		StringBuilder text = new StringBuilder();
		while (!text.toString().endsWith("\r\n\r\n")) {
			int next = socket.getInputStream().read();
			if (next < 0) {
				return text.toString();
			}
			text.append((char) next);
		}
		int length = text.toString()
			.lines()
			.filter((line) -> line.toLowerCase(Locale.ROOT).startsWith("content-length:"))
			.mapToInt((line) -> Integer.parseInt(line.substring(line.indexOf(':') + 1).trim()))
			.findFirst()
			.orElse(0);
		byte[] body = socket.getInputStream().readNBytes(length);
		return text + new String(body, StandardCharsets.ISO_8859_1);
	}

	/**
	 * Reads until the connection is closed.
	 * @param socket the connection
	 * @param maxMs the time within which it must be closed, in milliseconds
	 * @return the first {@value #MAX_KEPT_BYTES} bytes of what was received
	 * @throws IOException if the connection fails
	 */
	static String readToEnd(Socket socket, long maxMs) throws IOException {
		long startedAt = System.nanoTime();
		ByteArrayOutputStream received = new ByteArrayOutputStream();
		byte[] part = new byte[65_536];
		for (int read = 0; read >= 0; read = socket.getInputStream().read(part)) {
			received.write(part, 0, Math.min(read, MAX_KEPT_BYTES - received.size()));
			assertThat(System.nanoTime() - startedAt).as("time until the connection is closed")
				.isLessThan(Duration.ofMillis(maxMs).toNanos());
		}
		return received.toString(StandardCharsets.ISO_8859_1);
	}

	@Override
	public void close() {
		this.loops.disposeLater(QUIET_PERIOD, Duration.ofSeconds(1)).block();
	}

}
