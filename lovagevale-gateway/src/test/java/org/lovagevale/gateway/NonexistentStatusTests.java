package org.lovagevale.gateway;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a response whose status code does not exist and that is passed on as the
 * response to a request or counts as the result of a health check.
 */
@Timeout(60)
class NonexistentStatusTests {

	private static final Region WEST = new Region("west");

	/** Time for two heartbeats to a seed, after which each process knows the other. */
	private static final long CONTACT_EXCHANGE_MS = 2_500;

	/** Time in which an idle server is checked at least twice. */
	private static final long TWO_CHECKS_MS = 2_500;

	private TestServer server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		this.gateway = new TestGateway(List.of()).setHomeRegions(WEST)
			.publishConfiguration(1_500)
			.publishServer("a", this.server.port())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
	}

	private void respondWith(String status) {
		this.server.setHandler((request, socket) -> TestServer.write(socket, withStatus(request, status)));
	}

	private static String withStatus(TestServer.Request request, String status) {
		return TestServer.ok(request, "hello").replaceFirst("200", status);
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "999", "1000", "20", "-1", "+20", "+200", "0200", "2OO" })
	void responseIsAFailureAndItsConnectionIsClosed(String status) throws Exception {
		CompletableFuture<Integer> next = new CompletableFuture<>();
		this.server.setHandler((request, socket) -> {
			TestServer.write(socket, withStatus(request, status));
			next.complete(socket.getInputStream().read());
		});
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 502");
		assertThat(this.server.requests()).hasSize(1);
		assertThat(next.get(3, TimeUnit.SECONDS)).as("end of the connection").isEqualTo(-1);
		assertThat(this.gateway.process().metrics().scrape()).containsPattern("unexpected.*MALFORMED.* 1\\.0");
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "999", "1000" })
	void idempotentRequestIsSentAgain(String status) throws Exception {
		try (TestServer sound = new TestServer(
				(request, socket) -> TestServer.write(socket, TestServer.ok(request, "sound")))) {
			respondWith(status);
			this.gateway.publishServer("b", sound.port());
			for (int i = 0; i < 20 && sound.requests().isEmpty(); i++) {
				this.gateway.exchange(TestGateway.getRequest("/read/" + i, "wait-" + i));
				Thread.sleep(100);
			}
			for (int i = 0; i < 10; i++) {
				assertThat(this.gateway.exchange(TestGateway.getRequest("/read/x" + i, "i-" + i))).endsWith("sound");
			}
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "999", "1000" })
	void announcementIsNotTaken(String status) throws Exception {
		this.server.setHandler((request, socket) -> TestServer.write(socket,
				withStatus(request, status).replaceFirst("\r\n", "\r\nTest-Leaving: 1\r\n")));
		this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"));
		this.server.setHandler((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/2", "j", "x"))).startsWith("HTTP/1.1 200");
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "999", "1000" })
	void healthCheckFails(String status) throws Exception {
		this.server.setHealthHandler((request, socket) -> TestServer.write(socket,
				"HTTP/1.1 " + status + " OK\r\nTest-Leaving: 1\r\nContent-Length: 0\r\n\r\n"));
		Thread.sleep(TWO_CHECKS_MS);
		assertThat(this.gateway.process().metrics().scrape()).containsPattern("unexpected.*MALFORMED.* [2-9]");
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 200");
		try (TestServer sound = new TestServer(
				(request, socket) -> TestServer.write(socket, TestServer.ok(request, "sound")))) {
			this.gateway.publishServer("b", sound.port());
			Thread.sleep(TWO_CHECKS_MS);
			for (int i = 0; i < 10; i++) {
				assertThat(this.gateway.exchange(TestGateway.postRequest("/write/b", "b-" + i, "x"))).endsWith("sound");
			}
		}
	}

	@Test
	void requestFromAnotherRegionFails() throws Exception {
		try (TestGateway remote = new TestGateway(TestAddresses.host(2), new FailureDomain("east-1"),
				new Region("east"), List.of(this.gateway.peerAddress()))) {
			remote.setHomeRegions(WEST).publishConfiguration(1_500).publishServer("a", this.server.port()).start();
			Thread.sleep(CONTACT_EXCHANGE_MS);
			for (String status : List.of("000", "099", "600", "999", "1000")) {
				respondWith(status);
				assertThat(remote.exchange(TestGateway.postRequest("/write/" + status, status, "x"))).as(status)
					.startsWith("HTTP/1.1 502");
			}
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "999", "1000" })
	void relayedRequestFails(String status) throws Exception {
		respondWith(status);
		assertThat(this.gateway.exchange(relayed(status))).startsWith("HTTP/1.1 502");
	}

	private static String relayed(String id) {
		return TestGateway.postRequest("/write/1", id, "x")
			.replace("\r\n\r\n", "\r\nTest-Caller: 127.0.0.9\r\nTest-Earlier-Sends: 0\r\n\r\n");
	}

}
