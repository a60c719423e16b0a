package org.lovagevale.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that hold a connection after they have ended or failed.
 */
@Timeout(30)
class RequestEndTests {

	/** Time within which the end of a request reaches its server, in milliseconds. */
	private static final long MAX_END_DELAY_MS = 500;

	private TestServer server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		this.gateway = new TestGateway(List.of()).publishConfiguration(3_000)
			.publishServer("a", this.server.port())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
	}

	@Test
	void responseToASlowCallerThatLeavesDoesNotHoldItsServer() throws Exception {
		CountDownLatch released = new CountDownLatch(1);
		this.server.setHandler((request, socket) -> {
			try {
				TestServer.write(socket, TestServer.ok(request, "x".repeat(20_000_000)));
			}
			catch (IOException ex) {
				// The connection was closed, as the response is not needed any more.
				released.countDown();
			}
		});
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, TestGateway.postRequest("/write/1", "i", "x"));
			assertThat(released.await(700, TimeUnit.MILLISECONDS)).isFalse();
		}
		assertThat(released.await(MAX_END_DELAY_MS, TimeUnit.MILLISECONDS)).isTrue();
	}

	// The test protocol throws an exception for a time that is not a number.
	@Test
	void callerOfAPipelinedRequestThatFailsInternallyIsNotLeftWaiting() throws Exception {
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, TestGateway.getRequest("/read/1", "first")
					+ TestGateway.getRequest("/read/2", "second").replace("3000", "soon"));
			assertThat(TestGateway.readResponse(socket)).startsWith("HTTP/1.1 200");
			socket.setSoTimeout(1_000);
			assertThat(TestGateway.readResponse(socket)).startsWith("HTTP/1.1 500")
				.containsIgnoringCase("connection: close");
			assertThat(socket.getInputStream().read()).isEqualTo(-1);
		}
	}

}
