package org.lovagevale.gateway;

import java.net.Socket;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that is given up while its server works, long before its
 * timeout, because the event loop was delayed before the request arrived.
 */
@Timeout(30)
class DelayedReadTests {

	private static final long DELAY_MS = 700;

	/** Time before the end of the delay at which the request is sent, in milliseconds. */
	private static final long SENT_BEFORE_END_MS = 30;

	private static final long ROUTE_TIMEOUT_MS = 800;

	private static final long WORK_MS = 400;

	private TestServer server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer((request, socket) -> {
			sleep(WORK_MS);
			TestServer.write(socket, TestServer.ok(request, "hello"));
		});
		this.gateway = new TestGateway(List.of()).publishConfiguration(ROUTE_TIMEOUT_MS)
			.publishServer("a", this.server.port())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
	}

	@Test
	void requestThatArrivesAtTheEndOfADelayHasItsWholeTime() throws Exception {
		assertThat(responseAfterDelay()).startsWith("HTTP/1.1 200");
	}

	@Test
	void requestThatArrivesAtTheEndOfADelayInAPlannedStopHasItsWholeTime() throws Exception {
		Thread stop = Thread.ofVirtual().start(this.gateway.process()::stop);
		sleep(200);
		assertThat(responseAfterDelay()).startsWith("HTTP/1.1 200");
		stop.join();
	}

	private String responseAfterDelay() throws Exception {
		try (Socket socket = this.gateway.connect()) {
			sleep(50);
			this.gateway.process().loop().execute(() -> sleep(DELAY_MS));
			sleep(DELAY_MS - SENT_BEFORE_END_MS);
			TestServer.write(socket, TestGateway.postRequest("/write/1", "late", "x"));
			return TestGateway.readResponse(socket);
		}
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
