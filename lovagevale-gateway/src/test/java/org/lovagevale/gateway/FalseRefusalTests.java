package org.lovagevale.gateway;

import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.core.roster.Roster;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a status which says that a request was not run and comes from a server
 * that has run it, so that its caller sends it again.
 */
@Timeout(30)
class FalseRefusalTests {

	private static final Region WEST = new Region("west");

	/** Time for two heartbeats to a seed, after which each process knows the other. */
	private static final long CONTACT_EXCHANGE_MS = 2_500;

	private TestServer server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		this.gateway = new TestGateway(List.of()).setHomeRegions(WEST)
			.publishConfiguration(1_000)
			.publishServer("a", this.server.port())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
	}

	private static String failure(TestServer.Request request, int status, String body) {
		return "HTTP/1.1 " + status + " Failed\r\nTest-Id: " + request.headers().get("test-id")
				+ "\r\nTest-Signature: s\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private void failWith(int status, String body) {
		this.server.setHandler((request, socket) -> TestServer.write(socket, failure(request, status, body)));
	}

	private static boolean isCounted(TestGateway entry, String outcome) {
		return entry.process()
			.metrics()
			.scrape()
			.lines()
			.anyMatch((line) -> line.startsWith("lovagevale_gateway_sends_total") && line.contains(outcome));
	}

	@ParameterizedTest
	@ValueSource(ints = { 408, 421, 429, 503 })
	void callerOfARequestThatHasRunIsNotToldThatItHasNot(int status) throws Exception {
		failWith(status, "failed after the work");
		String response = this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"));
		assertThat(response).startsWith("HTTP/1.1 502").doesNotContain("Test-Signature").doesNotContain("Retry-After");
		assertThat(this.server.requests()).hasSize(1);
		assertThat(isCounted(this.gateway, "FAILED")).isTrue();
	}

	// The body exceeds what is buffered of a response, so it is passed on while it
	// arrives.
	@ParameterizedTest
	@CsvSource({ "408,40000", "421,40000", "429,40000", "503,40000", "503,2000000" })
	void largeResponseOfARequestThatHasRunIsReplaced(int status, int bytes) throws Exception {
		failWith(status, "x".repeat(bytes));
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 502");
		assertThat(this.server.requests()).hasSize(1);
	}

	@Test
	void responseWithoutEndOfARequestThatHasRunIsReplaced() throws Exception {
		CountDownLatch closed = new CountDownLatch(1);
		this.server.setHandler((request, socket) -> {
			try {
				TestServer.write(socket, failure(request, 503, "x").replace("Length: 1", "Length: 1000000000"));
				while (true) {
					TestServer.write(socket, "x".repeat(10_000));
				}
			}
			catch (SocketException ex) {
				closed.countDown();
				throw ex;
			}
		});
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket,
					TestGateway.postRequest("/write/1", "i", "x").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
			assertThat(TestGateway.readToEnd(socket, 1_500)).startsWith("HTTP/1.1 502");
		}
		assertThat(closed.await(1, TimeUnit.SECONDS)).as("closed at the server").isTrue();
	}

	@ParameterizedTest
	@ValueSource(ints = { 408, 421, 429, 503 })
	void idempotentRequestIsSentToAnotherServer(int status) throws Exception {
		failWith(status, "failed");
		try (TestServer sound = new TestServer(
				(request, socket) -> TestServer.write(socket, TestServer.ok(request, "sound")))) {
			this.gateway.publishServer("b", sound.port());
			Thread.sleep(Roster.SETTLED_MS + 500);
			for (int i = 0; i < 6; i++) {
				assertThat(this.gateway.exchange(TestGateway.getRequest("/read/1", "id-" + i)))
					.startsWith("HTTP/1.1 200")
					.endsWith("sound");
			}
			assertThat(this.server.requests()).isNotEmpty();
		}
	}

	@Test
	void idempotentRequestWithoutAnotherServerIsNotCalledNotRun() throws Exception {
		failWith(503, "failed");
		assertThat(this.gateway.exchange(TestGateway.getRequest("/read/1", "i"))).startsWith("HTTP/1.1 502");
	}

	@ParameterizedTest
	@ValueSource(ints = { 400, 404, 409, 413, 500, 504 })
	void otherFailureOfAServerIsPassedOn(int status) throws Exception {
		failWith(status, "detail");
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x")))
			.startsWith("HTTP/1.1 " + status)
			.contains("Test-Signature: s")
			.endsWith("detail");
	}

	@ParameterizedTest
	@CsvSource({ "503,Test-Not-Run: 1", "429,Test-Not-Run: 1", "421,Test-Not-Run: 1", "421,Test-Other: 1" })
	void requestThatHasNotRunIsRefused(int status, String statement) throws Exception {
		this.server.setHandler((request, socket) -> TestServer.write(socket,
				failure(request, status, "").replace("Test-Signature: s", statement)));
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 503")
			.containsIgnoringCase("Retry-After: ");
	}

	@ParameterizedTest
	@ValueSource(ints = { 408, 421, 429, 503 })
	void callerOfARelayedRequestThatHasRunIsNotToldThatItHasNot(int status) throws Exception {
		failWith(status, "failed after the work");
		try (TestGateway remote = new TestGateway(TestAddresses.host(2), new FailureDomain("east-1"),
				new Region("east"), List.of(this.gateway.peerAddress()))) {
			remote.setHomeRegions(WEST).publishConfiguration(1_000).publishServer("a", this.server.port()).start();
			Thread.sleep(CONTACT_EXCHANGE_MS);
			assertThat(remote.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 502");
			assertThat(this.server.requests()).hasSize(1);
			assertThat(remote.process().metrics().scrape()).contains("lovagevale_gateway_relays_total");
		}
	}

}
