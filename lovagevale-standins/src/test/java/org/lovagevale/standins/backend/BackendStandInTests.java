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
 * Guards against a backend stand-in whose handling of requests differs from what it
 * counts and reports. Tests of the load balancer rely on these counters.
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
	void shedsOnlyWhatDoesNotFitIntoSlotsAndQueue() {
		set("{\"slots\":2,\"queueLength\":3,\"serviceTime\":\"fixed:200\"}");
		List<CallResult> results = sendAtOnce(8);
		assertThat(results).filteredOn((result) -> result.status() == 200).hasSize(5);
		assertThat(results).filteredOn((result) -> result.status() == 503)
			.hasSize(3)
			.allMatch((result) -> result.header("lovagevale-not-run").equals("true"));
		assertThat(this.group.runs().total()).isEqualTo(5);
	}

	@Test
	void countsRunsOfTheSameKeyOnAllServersOfTheGroup() {
		BackendStandIn other = this.group.add("transfers-02", HOST, 0, Behaviour.defaults(), false);
		send(Call.post("/transfers", "a"), this.address, "k1");
		send(Call.post("/transfers", "a"), EntryAddress.of(HOST, other.port()), "k1");
		send(Call.post("/transfers", "b"), this.address, "k2");
		assertThat(this.group.runs().duplicateKeys()).containsOnlyKeys("k1").containsEntry("k1", 2);
	}

	@Test
	void countsViolationOfColdStartAndSlowsDown() {
		set("{\"coldConcurrency\":1,\"coldSlowdown\":2,\"serviceTime\":\"fixed:300\"}");
		this.server.makeCold();
		long begin = System.nanoTime();
		sendAtOnce(2);
		assertThat(this.server.count(BackendCounter.COLD_VIOLATIONS)).isEqualTo(1);
		assertThat(Duration.ofNanos(System.nanoTime() - begin)).isGreaterThan(Duration.ofMillis(550));
	}

	@Test
	void becomesWarmAfterEnoughAnswers() {
		set("{\"coldAnswers\":3,\"serviceTime\":\"fixed:1\"}");
		this.server.makeCold();
		for (int i = 0; i < 3; i++) {
			assertThat(send(Call.get("/"), this.address, "").header("lovagevale-load")).contains("state=cold");
		}
		assertThat(send(Call.get("/"), this.address, "").header("lovagevale-load")).contains("state=warm");
		assertThat(this.server.count(BackendCounter.COLD_VIOLATIONS)).isZero();
	}

	@Test
	void crashFailsAllRequestsAndRestartsColdWithNewBoot() {
		set("{\"restartMs\":50,\"serviceTime\":\"fixed:400\"}");
		String bootBefore = this.server.stats().boot();
		List<Throwable> failures = new ArrayList<>();
		Flux<CallResult> unmarked = this.caller.sendOnce(Call.get("/"), this.address, "")
			.doOnError(failures::add)
			.onErrorComplete()
			.flux();
		Flux<CallResult> marked = Flux.defer(() -> {
			await(() -> this.server.stats().inFlight() == 1);
			return this.caller.sendOnce(Call.post("/transfers", "please crash-me"), this.address, "k")
				.doOnError(failures::add)
				.onErrorComplete();
		}).subscribeOn(Schedulers.boundedElastic());
		assertThat(Flux.merge(unmarked, marked).collectList().block(LIMIT)).isEmpty();
		assertThat(failures).hasSize(2);
		await(() -> this.server.stats().listening());
		set("{\"serviceTime\":\"fixed:1\"}");
		CallResult after = send(Call.get("/"), this.address, "");
		assertThat(after.header("lovagevale-load")).contains("state=cold").doesNotContain(bootBefore);
		assertThat(this.group.runs().runsOfKey("k")).isEqualTo(1);
		await(() -> this.server.stats().inFlight() == 0);
	}

	@Test
	void rejectsRequestsAfterDeadlineEvenIfQueued() {
		set("{\"slots\":1,\"serviceTime\":\"fixed:300\"}");
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
	void detectsCancellationOfRunningAndQueuedRequests() throws IOException {
		set("{\"slots\":1,\"serviceTime\":\"fixed:5000\"}");
		try (Socket running = open(); Socket waiting = open()) {
			write(running);
			await(() -> this.server.stats().inFlight() == 1);
			write(waiting);
			await(() -> this.server.stats().inFlight() == 2);
		}
		await(() -> this.server.stats().inFlight() == 0);
		// The counters are updated after the number in flight, on another thread.
		await(() -> cancelled() >= 2);
		assertThat(cancelled()).isEqualTo(2);
	}

	private long cancelled() {
		return this.server.count(BackendCounter.CANCELLED_RUNNING) + this.server.count(BackendCounter.CANCELLED_QUEUED);
	}

	@Test
	void drainingRejectsNewRequestsAndCompletesRunningOnes() {
		set("{\"serviceTime\":\"fixed:200\"}");
		Flux<CallResult> both = Flux.merge(this.caller.sendOnce(Call.get("/"), this.address, ""), Flux.defer(() -> {
			set("{\"draining\":true}");
			return this.caller.sendOnce(Call.get("/"), this.address, "");
		}).delaySubscription(Duration.ofMillis(100)));
		List<CallResult> results = both.collectList().block(LIMIT);
		assertThat(results).extracting(CallResult::status).containsExactlyInAnyOrder(200, 503);
		assertThat(this.server.count(BackendCounter.DRAIN_ARRIVALS)).isEqualTo(1);
	}

	@Test
	void uploadsAndDownloadsKeepEveryByte() {
		GeneratedBody body = new GeneratedBody(7, 1_000_003);
		CallResult up = send(Call.put("/documents/a", body), this.address, "");
		assertThat(Json.read(up.body().text()).path("sha256").asText()).isEqualTo(body.sha256());
		CallResult down = send(Call.get("/documents/a?bytes=1000003&seed=7"), this.address, "");
		assertThat(down.body().sha256()).isEqualTo(body.sha256());
	}

	@Test
	void interruptedDownloadIsNeverComplete() {
		Call cut = Call.get("/documents/a?bytes=1000000&cutAfter=500000");
		assertThatThrownBy(() -> send(cut, this.address, "")).isInstanceOf(RuntimeException.class);
	}

	@Test
	void closesConnectionsBeyondItsLimit() throws IOException {
		set("{\"maxConnections\":1}");
		try (Socket first = open()) {
			write(first);
			assertThat(first.getInputStream().read()).isEqualTo('H');
			try (Socket second = open()) {
				assertThat(readOrReset(second)).isEqualTo(-1);
			}
		}
		assertThat(this.server.count(BackendCounter.CONNECTIONS_REFUSED)).isEqualTo(1);
	}

	private void set(String members) {
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

	private Socket open() throws IOException {
		Socket socket = new Socket(InetAddress.getByName(HOST), this.server.port());
		socket.setSoTimeout((int) LIMIT.toMillis());
		return socket;
	}

	private static int readOrReset(Socket socket) {
		try {
			return socket.getInputStream().read();
		}
		catch (IOException ex) {
			return -1;
		}
	}

	private static void write(Socket socket) throws IOException {
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
