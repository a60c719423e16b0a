package org.lovagevale.gateway;

import java.net.Socket;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs two entry processes in different regions, of which one relays requests to the
 * other.
 */
@Timeout(30)
class RegionRelayTests {

	/** Time for two heartbeats to a seed, after which each process knows the other. */
	private static final long CONTACT_EXCHANGE_MS = 2_500;

	/** Time within which both processes read a new configuration. */
	private static final long CONFIGURATION_READ_MS = 1_500;

	private TestRegions regions;

	@BeforeEach
	void start() throws Exception {
		this.regions = new TestRegions(2_000, CONTACT_EXCHANGE_MS);
	}

	@AfterEach
	void stop() throws Exception {
		this.regions.close();
	}

	@Test
	void requestIsPlacedByAnEntryVmOfItsHomeRegion() throws Exception {
		String response = this.regions.remote().exchange(TestGateway.postRequest("/write/1", "id-1", "0123456789"));
		assertThat(response).startsWith("HTTP/1.1 200 OK").contains("Test-Signature: s").endsWith("hello");
		assertThat(this.regions.server().requests()).hasSize(1);
		TestServer.Request received = this.regions.server().requests().getFirst();
		assertThat(received.body()).isEqualTo("0123456789");
		assertThat(received.headers()).containsEntry("test-server", "a").doesNotContainKey("test-caller");
		assertThat(this.regions.home().process().metrics().scrape()).contains("lovagevale_gateway_sends_total");
		assertThat(this.regions.remote().process().metrics().scrape()).contains("lovagevale_gateway_relays_total")
			.doesNotContain("lovagevale_gateway_sends_total");
	}

	@Test
	void requestThatFailedAfterItWasSentIsNotSentAgain() throws Exception {
		this.regions.server().setHandler((request, socket) -> socket.close());
		String response = this.regions.remote().exchange(TestGateway.postRequest("/write/1", "id-1", "x"));
		assertThat(response).startsWith("HTTP/1.1 502");
		assertThat(this.regions.server().requests()).hasSize(1);
	}

	@Test
	void rejectionByTheHomeRegionIsForwardedWithRetryAfter() throws Exception {
		this.regions.server()
			.setHandler((request, socket) -> TestServer.write(socket, "HTTP/1.1 503 Busy\r\nTest-Id: "
					+ request.headers().get("test-id") + "\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"));
		String response = this.regions.remote().exchange(TestGateway.postRequest("/write/1", "id-1", "x"));
		assertThat(response).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after: ");
	}

	// Guards against a request that runs although its caller has left while it was
	// queued.
	@Test
	void requestThatWaitsInItsHomeRegionIsCancelledWhenItsCallerLeaves() throws Exception {
		this.regions.server()
			.setHandler((request, socket) -> TestServer.write(socket,
					"HTTP/1.1 503 Busy\r\nTest-Id: " + request.headers().get("test-id")
							+ "\r\nTest-Not-Run: 1\r\nRetry-After: 0.8\r\nContent-Length: 0\r\n\r\n"));
		this.regions.home().exchange(TestGateway.postRequest("/write/1", "first", "x"));
		this.regions.server()
			.setHandler((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		try (Socket socket = this.regions.remote().connect()) {
			TestServer.write(socket, TestGateway.postRequest("/write/2", "left", "x"));
			sleep(200);
			assertThat(socket.getInputStream().available()).isZero();
		}
		sleep(1_500);
		assertThat(this.regions.server().requests()).extracting((request) -> request.headers().get("test-id"))
			.containsExactly("first");
	}

	// Guards against requests that the servers of several regions reject in turn without
	// a limit.
	@Test
	void relayedRequestThatReachedAServerBeforeCountsAsRetry() throws Exception {
		this.regions.server()
			.setHandler((request, socket) -> TestServer.write(socket, "HTTP/1.1 503 Busy\r\nTest-Id: "
					+ request.headers().get("test-id") + "\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"));
		String first = this.regions.home().exchange(relayed("/write/1", "first", 0));
		assertThat(first).startsWith("HTTP/1.1 503").contains("Test-Earlier-Sends: 1");
		this.regions.server()
			.setHandler((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		int retries = 100;
		for (int i = 0; i < retries; i++) {
			this.regions.home().exchange(relayed("/write/1", "retry-" + i, 1));
		}
		assertThat(this.regions.server().requests()).hasSizeLessThan(retries);
	}

	private static String relayed(String path, String id, int earlierSends) {
		return TestGateway.postRequest(path, id, "x")
			.replace("\r\n\r\n", "\r\nTest-Caller: 127.0.0.9\r\nTest-Earlier-Sends: " + earlierSends + "\r\n\r\n");
	}

	private static void sleep(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Test
	void requestIsPlacedHereIfNoEntryVmOfTheHomeRegionCanBeReached() throws Exception {
		this.regions.home().close();
		String response = this.regions.remote().exchange(TestGateway.postRequest("/write/1", "id-1", "x"));
		assertThat(response).startsWith("HTTP/1.1 200 OK");
		assertThat(this.regions.server().requests()).hasSize(1);
	}

	@Test
	void requestWithoutAServerInItsRegionIsRelayed() throws Exception {
		this.regions.remote().setHomeRegions().publishConfiguration(2_000);
		this.regions.home().setHomeRegions().publishConfiguration(2_000);
		Thread.sleep(CONFIGURATION_READ_MS);
		assertThat(this.regions.remote().exchange(TestGateway.postRequest("/write/1", "id-1", "x")))
			.startsWith("HTTP/1.1 200 OK");
		assertThat(this.regions.remote().process().metrics().scrape()).contains("lovagevale_gateway_relays_total")
			.doesNotContain("lovagevale_gateway_sends_total");
	}

}
