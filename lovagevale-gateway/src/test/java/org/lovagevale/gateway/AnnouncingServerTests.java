package org.lovagevale.gateway;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests to servers that have announced in a response that they are
 * leaving or want no requests for some time.
 */
@Timeout(30)
class AnnouncingServerTests {

	private final AtomicInteger healthChecks = new AtomicInteger();

	private TestServer first;

	private TestServer second;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.first = new TestServer((request, socket) -> TestServer.write(socket, TestServer.ok(request, "first")));
		this.second = new TestServer((request, socket) -> TestServer.write(socket, TestServer.ok(request, "second")));
		this.gateway = new TestGateway(List.of()).publishConfiguration(2_000)
			.publishServer("a", this.first.port())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.first.close();
		this.second.close();
	}

	private void addSecondServer() throws InterruptedException {
		this.gateway.publishServer("b", this.second.port()).publishConfiguration(2_000);
		Thread.sleep(1_000);
	}

	private String post(int number) throws Exception {
		return this.gateway.exchange(TestGateway.postRequest("/write/" + number, "id-" + number, "x"));
	}

	private static String with(String response, String header) {
		return response.replaceFirst("\r\n", "\r\n" + header + "\r\n");
	}

	private static String rejection(TestServer.Request request, String retryAfter) {
		return "HTTP/1.1 503 Full\r\nTest-Id: " + request.headers().get("test-id")
				+ "\r\nTest-Not-Run: 1\r\nRetry-After: " + retryAfter + "\r\nContent-Length: 0\r\n\r\n";
	}

	@Test
	void serverThatIsLeavingGetsNothingNew() throws Exception {
		this.first.setHandler((request, socket) -> TestServer.write(socket,
				with(TestServer.ok(request, "first"), "Test-Leaving: 1")));
		assertThat(post(0)).endsWith("first");
		int connections = this.first.connectionCount();
		addSecondServer();
		for (int i = 1; i <= 20; i++) {
			assertThat(post(i)).startsWith("HTTP/1.1 200").endsWith("second");
		}
		assertThat(this.first.requests()).hasSize(1);
		assertThat(this.first.connectionCount()).isEqualTo(connections);
	}

	@Test
	void interimResponseAnnouncesTheLeavingToo() throws Exception {
		this.first.setHandler((request, socket) -> {
			TestServer.write(socket, "HTTP/1.1 102 Processing\r\nTest-Leaving: 1\r\n\r\n");
			TestServer.write(socket, TestServer.ok(request, "first"));
		});
		assertThat(post(0)).endsWith("first");
		assertThat(post(1)).startsWith("HTTP/1.1 503");
		assertThat(this.first.requests()).hasSize(1);
	}

	@Test
	void healthCheckAnnouncesTheLeavingToo() throws Exception {
		this.first.setHealthHandler((request, socket) -> TestServer.write(socket,
				"HTTP/1.1 503 Leaving\r\nTest-Leaving: 1\r\nContent-Length: 0\r\n\r\n"));
		Thread.sleep(1_500);
		assertThat(post(0)).startsWith("HTTP/1.1 503");
		assertThat(this.first.requests()).isEmpty();
	}

	@Test
	void runningRequestOfALeavingServerIsCompleted() throws Exception {
		this.first.setHandler((request, socket) -> {
			TestServer.write(socket, "HTTP/1.1 102 Processing\r\nTest-Leaving: 1\r\n\r\n");
			sleep(300);
			TestServer.write(socket, TestServer.ok(request, "first"));
		});
		assertThat(post(0)).startsWith("HTTP/1.1 200").endsWith("first");
	}

	// Guards against an announcement that is attributed to the former server of an
	// address.
	@ParameterizedTest
	@ValueSource(
			strings = { "421 Misdirected\r\nTest-Leaving: 1", "503 Full\r\nTest-Server: other\r\nTest-Leaving: 1" })
	void anotherServerAtTheAddressAnnouncesNothing(String status) throws Exception {
		this.first.setHandler((request, socket) -> TestServer.write(socket, "HTTP/1.1 " + status + "\r\nTest-Id: "
				+ request.headers().get("test-id") + "\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"));
		post(0);
		this.first.setHandler((request, socket) -> TestServer.write(socket, TestServer.ok(request, "first")));
		Thread.sleep(1_500);
		assertThat(post(1)).startsWith("HTTP/1.1 200");
	}

	@Test
	void nextRunOfTheServerStartsFree() throws Exception {
		this.first.setHandler((request, socket) -> TestServer.write(socket,
				with(TestServer.ok(request, "first"), "Test-Leaving: 1")));
		post(0);
		this.first.setHandler((request, socket) -> TestServer.write(socket, TestServer.ok(request, "first")));
		this.gateway.publishServer("a", this.first.port(), 2);
		Thread.sleep(1_000);
		assertThat(post(1)).startsWith("HTTP/1.1 200");
	}

	@Test
	void pausedServerGetsNeitherRequestsNorHealthChecks() throws Exception {
		this.first.setHealthHandler((request, socket) -> {
			this.healthChecks.incrementAndGet();
			TestServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
		});
		addSecondServer();
		this.first.setHandler((request, socket) -> TestServer.write(socket, rejection(request, "2.5")));
		for (int i = 0; this.first.requests().isEmpty(); i++) {
			post(i);
		}
		this.healthChecks.set(0);
		for (int i = 100; i < 130; i++) {
			assertThat(post(i)).startsWith("HTTP/1.1 200").endsWith("second");
		}
		Thread.sleep(1_500);
		assertThat(this.first.requests()).hasSize(1);
		assertThat(this.healthChecks).hasValueLessThanOrEqualTo(1);
	}

	@Test
	void requestWaitsForTheEndOfAShortPause() throws Exception {
		AtomicInteger requests = new AtomicInteger();
		this.first.setHandler((request, socket) -> TestServer.write(socket,
				(requests.getAndIncrement() == 0) ? rejection(request, "0.4") : TestServer.ok(request, "first")));
		assertThat(post(0)).startsWith("HTTP/1.1 503");
		long startedAt = System.nanoTime();
		assertThat(post(1)).startsWith("HTTP/1.1 200");
		assertThat((System.nanoTime() - startedAt) / 1_000_000).isBetween(200L, 1_500L);
	}

	@Test
	void requestIsRejectedAtOnceIfThePauseIsTooLong() throws Exception {
		this.first.setHandler((request, socket) -> TestServer.write(socket, rejection(request, "30")));
		post(0);
		long startedAt = System.nanoTime();
		String response = post(1);
		assertThat((System.nanoTime() - startedAt) / 1_000_000).isLessThan(500);
		assertThat(response).startsWith("HTTP/1.1 503").containsPattern("Retry-After: (29|30)\\.");
		assertThat(this.first.requests()).hasSize(1);
	}

	@Test
	void requestDoesNotWaitForThePauseOfAServerThatIsLeaving() throws Exception {
		this.first.setHandler(
				(request, socket) -> TestServer.write(socket, with(rejection(request, "1"), "Test-Leaving: 1")));
		post(0);
		long startedAt = System.nanoTime();
		assertThat(post(1)).startsWith("HTTP/1.1 503");
		assertThat((System.nanoTime() - startedAt) / 1_000_000).isLessThan(500);
	}

	private static void sleep(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
