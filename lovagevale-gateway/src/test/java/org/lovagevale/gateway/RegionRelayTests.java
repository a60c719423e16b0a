package org.lovagevale.gateway;

import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Relays requests between two entry processes in different regions.
 */
@Timeout(30)
class RegionRelayTests {

	private static final Region WEST = new Region("west");

	/** Time for two greetings of a seed, within which contacts are exchanged. */
	private static final long CONTACT_EXCHANGE_MS = 2_500;

	/** Time within which a change of the configuration is read. */
	private static final long CONFIGURATION_READ_MS = 1_500;

	private TestServer server;

	private TestGateway home;

	private TestGateway away;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		this.home = new TestGateway(List.of()).homeRegions(WEST)
			.configure(2_000)
			.server("a", this.server.port())
			.start();
		this.away = new TestGateway(TestAddresses.host(2), new FailureDomain("east-1"), new Region("east"),
				List.of(this.home.peerAddress()))
			.homeRegions(WEST)
			.configure(2_000)
			.server("a", this.server.port())
			.start();
		Thread.sleep(CONTACT_EXCHANGE_MS);
	}

	@AfterEach
	void stop() throws Exception {
		this.away.close();
		this.home.close();
		this.server.close();
	}

	@Test
	void requestIsPlacedByAnEntryVmOfItsHomeRegion() throws Exception {
		String response = this.away.exchange(TestGateway.post("/write/1", "id-1", "0123456789"));
		assertThat(response).startsWith("HTTP/1.1 200 OK").contains("Test-Signature: s").endsWith("hello");
		assertThat(this.server.requests()).hasSize(1);
		TestServer.Request received = this.server.requests().getFirst();
		assertThat(received.body()).isEqualTo("0123456789");
		assertThat(received.headers()).containsEntry("test-server", "a").doesNotContainKey("test-caller");
		assertThat(this.home.process().metrics().scrape()).contains("lovagevale_gateway_sends_total");
		assertThat(this.away.process().metrics().scrape()).contains("lovagevale_gateway_relays_total")
			.doesNotContain("lovagevale_gateway_sends_total");
	}

	@Test
	void failureAfterASendIsNotRepeated() throws Exception {
		this.server.script((request, socket) -> socket.close());
		String response = this.away.exchange(TestGateway.post("/write/1", "id-1", "x"));
		assertThat(response).startsWith("HTTP/1.1 502");
		assertThat(this.server.requests()).hasSize(1);
	}

	@Test
	void rejectionOfTheHomeRegionIsPassedOnWithRetryAfter() throws Exception {
		this.server.script((request, socket) -> TestServer.write(socket, "HTTP/1.1 503 Busy\r\nTest-Id: "
				+ request.headers().get("test-id") + "\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"));
		String response = this.away.exchange(TestGateway.post("/write/1", "id-1", "x"));
		assertThat(response).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after: ");
	}

	@Test
	void requestIsPlacedHereIfNoEntryVmOfTheHomeRegionCanBeReached() throws Exception {
		this.home.close();
		String response = this.away.exchange(TestGateway.post("/write/1", "id-1", "x"));
		assertThat(response).startsWith("HTTP/1.1 200 OK");
		assertThat(this.server.requests()).hasSize(1);
	}

	@Test
	void requestWithoutAServerInItsRegionIsRelayed() throws Exception {
		this.away.homeRegions().configure(2_000);
		this.home.homeRegions().configure(2_000);
		Thread.sleep(CONFIGURATION_READ_MS);
		assertThat(this.away.exchange(TestGateway.post("/write/1", "id-1", "x"))).startsWith("HTTP/1.1 200 OK");
		assertThat(this.away.process().metrics().scrape()).contains("lovagevale_gateway_relays_total")
			.doesNotContain("lovagevale_gateway_sends_total");
	}

}
