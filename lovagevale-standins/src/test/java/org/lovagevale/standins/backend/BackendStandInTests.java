package org.lovagevale.standins.backend;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.SystemClock;
import org.lovagevale.standins.caller.Call;
import org.lovagevale.standins.caller.CallResult;
import org.lovagevale.standins.caller.Caller;
import org.lovagevale.standins.caller.EntryAddress;
import org.lovagevale.standins.http.GeneratedBody;
import org.lovagevale.standins.http.Json;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Schedulers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against a backend server stand-in that handles requests in another way than its
 * counters and load reports say. Tests of the load balancer rely on them.
 */
class BackendStandInTests {

	private static final String HOST = "127.0.0.1";

	private static final Duration LIMIT = Duration.ofSeconds(10);

	private final BackendGroup group = new BackendGroup();

	private final BackendStandIn server = this.group.add("transfers-01", HOST, 0, Behaviour.defaults(), false);

	private final EntryAddress address = EntryAddress.of(HOST, this.server.port());

	private final Caller caller = new Caller(List.of(this.address), "transfers", "", new SystemClock());

	@AfterEach
	void close() {
		this.caller.close();
		this.group.close();
	}

	@Test
	void rejectsOnlyRequestsBeyondSlotsAndQueue() {
		changeBehaviour("{\"slots\":2,\"queueLength\":3,\"serviceTime\":\"fixed:200\"}");
		List<CallResult> results = sendAtOnce(8);
		assertThat(results).filteredOn((result) -> result.status() == 200).hasSize(5);
		assertThat(results).filteredOn((result) -> result.status() == 503)
			.hasSize(3)
			.allMatch((result) -> result.header("lovagevale-not-run").equals("true"));
		assertThat(this.group.runs().total()).isEqualTo(5);
	}

	@Test
	void countsRunsOfSameKeyOnAllServersOfGroup() {
		BackendStandIn other = this.group.add("transfers-02", HOST, 0, Behaviour.defaults(), false);
		send(Call.post("/transfers", "a"), this.address, "k1");
		send(Call.post("/transfers", "a"), EntryAddress.of(HOST, other.port()), "k1");
		send(Call.post("/transfers", "b"), this.address, "k2");
		assertThat(this.group.runs().duplicateKeys()).containsOnlyKeys("k1").containsEntry("k1", 2);
	}

	@Test
	void countsColdViolationAndSlowsDown() {
		changeBehaviour("{\"coldConcurrency\":1,\"coldSlowdown\":2,\"serviceTime\":\"fixed:300\"}");
		this.server.makeCold();
		long begin = System.nanoTime();
		sendAtOnce(2);
		assertThat(this.server.count(BackendCounter.COLD_VIOLATIONS)).isEqualTo(1);
		assertThat(Duration.ofNanos(System.nanoTime() - begin)).isGreaterThan(Duration.ofMillis(550));
	}

	@Test
	void becomesWarmAfterCompletedRequests() {
		changeBehaviour("{\"coldAnswers\":3,\"serviceTime\":\"fixed:1\"}");
		this.server.makeCold();
		for (int i = 0; i < 3; i++) {
			assertThat(send(Call.get("/"), this.address, "").header("lovagevale-load")).contains("state=cold");
		}
		assertThat(send(Call.get("/"), this.address, "").header("lovagevale-load")).contains("state=warm");
		assertThat(this.server.count(BackendCounter.COLD_VIOLATIONS)).isZero();
	}

	@Test
	void failsAllRequestsOnCrashAndRestartsColdWithNewBootIdentifier() {
		changeBehaviour("{\"restartMs\":50,\"serviceTime\":\"fixed:400\"}");
		String bootBefore = this.server.stats().boot();
		List<Throwable> failures = new ArrayList<>();
		Flux<CallResult> withoutMarker = this.caller.sendOnce(Call.get("/"), this.address, "")
			.doOnError(failures::add)
			.onErrorComplete()
			.flux();
		Flux<CallResult> withMarker = Flux.defer(() -> {
			await(() -> this.server.stats().inFlight() == 1);
			return this.caller.sendOnce(Call.post("/transfers", "please crash-me"), this.address, "k")
				.doOnError(failures::add)
				.onErrorComplete();
		}).subscribeOn(Schedulers.boundedElastic());
		assertThat(Flux.merge(withoutMarker, withMarker).collectList().block(LIMIT)).isEmpty();
		assertThat(failures).hasSize(2);
		await(() -> this.server.stats().listening());
		changeBehaviour("{\"serviceTime\":\"fixed:1\"}");
		CallResult after = send(Call.get("/"), this.address, "");
		assertThat(after.header("lovagevale-load")).contains("state=cold").doesNotContain(bootBefore);
		assertThat(this.group.runs().runsOfKey("k")).isEqualTo(1);
		await(() -> this.server.stats().inFlight() == 0);
	}

	@Test
	void rejectsRequestsAfterDeadlineEvenIfQueued() {
		changeBehaviour("{\"slots\":1,\"serviceTime\":\"fixed:300\"}");
		long now = System.currentTimeMillis();
		Call late = Call.post("/transfers", "x").withHeader("Lovagevale-Deadline", Long.toString(now - 1));
		assertThat(send(late, this.address, "late").header("lovagevale-not-run")).isEqualTo("true");
		Call soon = Call.post("/transfers", "x").withHeader("Lovagevale-Deadline", Long.toString(now + 150));
		Flux.merge(this.caller.sendOnce(Call.get("/"), this.address, ""),
				Flux.defer(() -> this.caller.sendOnce(soon, this.address, "soon"))
					.delaySubscription(Duration.ofMillis(50)))
			.blockLast(LIMIT);
		assertThat(this.group.runs().runsOfKey("late")).isZero();
		assertThat(this.group.runs().runsOfKey("soon")).isZero();
		assertThat(this.server.count(BackendCounter.EXPIRED)).isEqualTo(2);
	}

	@Test
	void countsCancellationOfRunningAndQueuedRequests() throws IOException {
		changeBehaviour("{\"slots\":1,\"serviceTime\":\"fixed:5000\"}");
		try (Socket running = connect(); Socket queued = connect()) {
			writeRequest(running);
			await(() -> this.server.stats().inFlight() == 1);
			writeRequest(queued);
			await(() -> this.server.stats().inFlight() == 2);
		}
		await(() -> this.server.stats().inFlight() == 0);
		// The counters are updated on another thread, after the number in flight.
		await(() -> cancelledRequests() >= 2);
		assertThat(cancelledRequests()).isEqualTo(2);
	}

	private long cancelledRequests() {
		return this.server.count(BackendCounter.CANCELLED_RUNNING) + this.server.count(BackendCounter.CANCELLED_QUEUED);
	}

	@Test
	void rejectsNewRequestsAndCompletesRunningOnesWhileDraining() {
		changeBehaviour("{\"serviceTime\":\"fixed:200\"}");
		Flux<CallResult> both = Flux.merge(this.caller.sendOnce(Call.get("/"), this.address, ""), Flux.defer(() -> {
			changeBehaviour("{\"draining\":true}");
			return this.caller.sendOnce(Call.get("/"), this.address, "");
		}).delaySubscription(Duration.ofMillis(100)));
		List<CallResult> results = both.collectList().block(LIMIT);
		assertThat(results).extracting(CallResult::status).containsExactlyInAnyOrder(200, 503);
		assertThat(this.server.count(BackendCounter.DRAIN_ARRIVALS)).isEqualTo(1);
	}

	@Test
	void preservesUploadedAndDownloadedBytes() {
		GeneratedBody body = new GeneratedBody(7, 1_000_003);
		CallResult uploaded = send(Call.put("/documents/a", body), this.address, "");
		assertThat(Json.read(uploaded.body().text()).path("sha256").asText()).isEqualTo(body.sha256());
		CallResult downloaded = send(Call.get("/documents/a?bytes=1000003&seed=7"), this.address, "");
		assertThat(downloaded.body().sha256()).isEqualTo(body.sha256());
	}

	@Test
	void failsTruncatedDownload() {
		Call truncated = Call.get("/documents/a?bytes=1000000&cutAfter=500000");
		assertThatThrownBy(() -> send(truncated, this.address, "")).isInstanceOf(RuntimeException.class);
	}

	@Test
	void closesConnectionsBeyondLimit() throws IOException {
		changeBehaviour("{\"maxConnections\":1}");
		try (Socket first = connect()) {
			writeRequest(first);
			assertThat(first.getInputStream().read()).isEqualTo('H');
			try (Socket second = connect()) {
				assertThat(readByteOrEnd(second)).isEqualTo(-1);
			}
		}
		assertThat(this.server.count(BackendCounter.CONNECTIONS_REFUSED)).isEqualTo(1);
	}

	private void changeBehaviour(String members) {
		this.server.change(Json.read(members));
	}

	private CallResult send(Call call, EntryAddress to, String key) {
		return this.caller.sendOnce(call, to, key).blockOptional(LIMIT).orElseThrow();
	}

	private List<CallResult> sendAtOnce(int count) {
		return Flux.range(0, count)
			.flatMap((i) -> this.caller.sendOnce(Call.get("/"), this.address, ""), count)
			.collectList()
			.blockOptional(LIMIT)
			.orElseThrow();
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket(InetAddress.getByName(HOST), this.server.port());
		socket.setSoTimeout((int) LIMIT.toMillis());
		return socket;
	}

	private static int readByteOrEnd(Socket socket) {
		try {
			return socket.getInputStream().read();
		}
		catch (IOException ex) {
			return -1;
		}
	}

	private static void writeRequest(Socket socket) throws IOException {
		String head = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n";
		socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
	}

	private static void await(BooleanSupplier condition) {
		long end = System.nanoTime() + LIMIT.toNanos();
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("condition within " + LIMIT).isLessThan(end);
			Thread.onSpinWait();
		}
	}

}
