package org.lovagevale.standins.caller;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.SystemClock;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a caller that violates the protocol rules for callers. If it resent a
 * request with a new key although the request may have run, tests would count a duplicate
 * run that the load balancer did not cause.
 */
class CallerTests {

	private static final String LOST_CONNECTION = "lost";

	// The status and the outcome of each response, separated by a space, or
	// LOST_CONNECTION.
	private final BlockingQueue<String> scriptedResponses = new LinkedBlockingQueue<>();

	private final List<String> keys = new CopyOnWriteArrayList<>();

	private final DisposableServer entry = HttpServer.create()
		.host("127.0.0.1")
		.port(0)
		.handle(this::respond)
		.bindNow();

	private final Caller caller = new Caller(List.of(EntryAddress.of("127.0.0.1", this.entry.port())), "transfers",
			"kandy", new SystemClock());

	@AfterEach
	void close() {
		this.caller.close();
		this.entry.disposeNow();
	}

	@Test
	void usesNewKeyAfterOutcomeNotRun() {
		CallResult result = send(Call.post("/transfers", "x"), "503 not-run", "200 ");
		assertThat(result.status()).isEqualTo(200);
		assertThat(this.keys).hasSize(2).doesNotHaveDuplicates().allMatch((key) -> key.startsWith("entry-01.5.0."));
	}

	@Test
	void keepsKeyAfterOutcomeRunning() {
		CallResult result = send(Call.post("/transfers", "x"), "409 running", "409 running", "200 ");
		assertThat(result.status()).isEqualTo(200);
		assertThat(this.keys).hasSize(3);
		assertThat(this.keys.stream().distinct()).hasSize(1);
	}

	@Test
	void keepsKeyAfterLostConnection() {
		CallResult result = send(Call.post("/transfers", "x"), LOST_CONNECTION, "200 ran");
		assertThat(result.status()).isEqualTo(200);
		assertThat(this.keys).hasSize(2);
		assertThat(this.keys.stream().distinct()).hasSize(1);
	}

	@Test
	void doesNotResendWriteWithUnknownOutcome() {
		assertThat(send(Call.post("/transfers", "x"), "503 unknown", "200 ").outcome()).isEqualTo("unknown");
		assertThat(this.keys).hasSize(1);
	}

	@Test
	void resendsIdempotentRequestWithUnknownOutcome() {
		assertThat(send(Call.get("/a"), "503 unknown", "200 ").attempts()).isEqualTo(2);
	}

	@Test
	void doesNotResendWriteWithoutKeyAfterLostConnection() {
		CallResult result = send(Call.post("/transfers", "x").withKey(false), LOST_CONNECTION, "200 ");
		assertThat(result.status()).isZero();
		assertThat(this.keys).hasSize(1);
	}

	@Test
	void looksUpAddressesAgainOnlyAfterTheyExpire() throws InterruptedException {
		send(Call.get("/a"), "200 ");
		send(Call.get("/a"), "200 ");
		assertThat(this.caller.lookups()).isEqualTo(1);
		Thread.sleep(400);
		send(Call.get("/a"), "200 ");
		assertThat(this.caller.lookups()).isEqualTo(2);
	}

	private CallResult send(Call call, String... responses) {
		this.scriptedResponses.addAll(List.of(responses));
		return this.caller.send(call).blockOptional(Duration.ofSeconds(10)).orElseThrow();
	}

	private Publisher<Void> respond(HttpServerRequest request, HttpServerResponse response) {
		if (request.uri().startsWith("/.lovagevale/addresses")) {
			String json = """
					{"addresses":[{"vm":"entry-01","address":"127.0.0.1","port":%d,"region":"r","domain":"d",\
					"keyPrefix":"entry-01.5.0."}],"validForMs":300,"settingsVersion":1}""";
			return response.sendString(Mono.just(json.formatted(this.entry.port())));
		}
		this.keys.add(request.requestHeaders().get("Idempotency-Key", ""));
		String next = this.scriptedResponses.remove();
		if (next.equals(LOST_CONNECTION)) {
			response.withConnection((connection) -> connection.channel().close());
			return Mono.never();
		}
		String[] parts = next.split(" ", -1);
		if (!parts[1].isEmpty()) {
			response.header("Lovagevale-Outcome", parts[1]);
		}
		return request.receive().then(response.status(Integer.parseInt(parts[0])).sendString(Mono.just("x")).then());
	}

}
