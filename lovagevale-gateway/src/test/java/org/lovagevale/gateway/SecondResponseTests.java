package org.lovagevale.gateway;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a second response, whole or broken off, that changes the response to a
 * later request.
 */
@Timeout(60)
class SecondResponseTests {

	private static final String SECOND_RESPONSE = "HTTP/1.1 200 OK\r\nServer: test\r\nTest-Signature: first\r\n"
			+ "Test-Id: first\r\nContent-Length: 2\r\n\r\nok";

	private TestServer server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		this.gateway = new TestGateway(List.of()).publishConfiguration(1_000)
			.publishServer("a", this.server.port())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
	}

	@Test
	void failureAfterAPartOfASecondResponseOnAnIdleConnectionIsNotASuccess() throws Exception {
		for (int length = 1; length < SECOND_RESPONSE.length(); length++) {
			String part = SECOND_RESPONSE.substring(0, length);
			assertThat(responseToFailedRequest("idle" + length, part, "")).as("after %s", part)
				.startsWith("HTTP/1.1 50");
		}
	}

	@Test
	void idleConnectionOnWhichAPartOfASecondResponseArrivesIsClosed() throws Exception {
		CountDownLatch closed = new CountDownLatch(1);
		this.server.setHandler((request, socket) -> {
			TestServer.write(socket, TestServer.ok(request, "hello"));
			sleep(20);
			TestServer.write(socket, "H");
			if (socket.getInputStream().read() < 0) {
				closed.countDown();
			}
		});
		assertThat(exchange("idle")).startsWith("HTTP/1.1 200");
		assertThat(closed.await(3, TimeUnit.SECONDS)).as("closed by the gateway").isTrue();
	}

	@Test
	void failureDirectlyBehindAPartOfASecondResponseIsNotASuccess() throws Exception {
		for (int length = 1; length < SECOND_RESPONSE.length(); length++) {
			String part = SECOND_RESPONSE.substring(0, length);
			assertThat(responseToFailedRequest("behind" + length, "", part)).as("behind %s", part)
				.startsWith("HTTP/1.1 50");
		}
	}

	@Test
	void failureBehindAWholeSecondResponseIsNotASuccess() throws Exception {
		assertThat(responseToFailedRequest("whole", "", SECOND_RESPONSE)).startsWith("HTTP/1.1 500");
	}

	/**
	 * Sends two requests, of which the server serves the first one and fails the second.
	 * @param name distinguishes the requests, since failing ones are quarantined
	 * @param idlePart what the server sends after the first response
	 * @param leadingPart what the server sends directly before the second response
	 * @return the response to the second request
	 */
	private String responseToFailedRequest(String name, String idlePart, String leadingPart) throws Exception {
		AtomicInteger requests = new AtomicInteger();
		this.server.setHandler((request, socket) -> {
			if (requests.getAndIncrement() == 0) {
				TestServer.write(socket, TestServer.ok(request, "hello"));
				sleep(idlePart.isEmpty() ? 0 : 2);
				TestServer.write(socket, idlePart);
				return;
			}
			TestServer.write(socket, leadingPart + failure(request.headers().get("test-id")));
		});
		assertThat(exchange("first-" + name)).startsWith("HTTP/1.1 200");
		// Lets the part arrive while the connection is idle.
		sleep(idlePart.isEmpty() ? 0 : 10);
		return exchange("second-" + name);
	}

	private String exchange(String name) throws IOException {
		return this.gateway.exchange(TestGateway.postRequest("/write/" + name, name, "x"));
	}

	private static void sleep(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String failure(String id) {
		return "HTTP/1.1 500 Internal Server Error\r\nTest-Signature: s\r\nTest-Id: " + id
				+ "\r\nContent-Length: 0\r\n\r\n";
	}

}
