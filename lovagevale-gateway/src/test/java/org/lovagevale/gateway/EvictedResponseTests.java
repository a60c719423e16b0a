package org.lovagevale.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are lost because the response of a faulty server, which
 * has taken all the memory for responses, is given up.
 */
@Timeout(30)
class EvictedResponseTests {

	private static final long REQUEST_LIMIT_BYTES = 50_000_000;

	private static final long RESPONSE_LIMIT_BYTES = 10_000;

	/** Requests that let the budget of retries grow. */
	private static final int EARLIER_REQUESTS = 40;

	/** Less than what is buffered of a failed response. */
	private static final String PART = "p".repeat(12_000);

	@Test
	void requestIsSentAgainAfterItsBufferedResponseWasEvicted() throws Exception {
		AtomicInteger requests = new AtomicInteger();
		try (TestServer server = new TestServer(
				(request, socket) -> respond(request, socket, requests.incrementAndGet() == EARLIER_REQUESTS + 1));
				TestGateway gateway = new TestGateway(List.of(),
						new MemoryLimits(REQUEST_LIMIT_BYTES, RESPONSE_LIMIT_BYTES))
					.publishConfiguration(6_000)
					.publishServer("a", server.port())
					.publishServer("b", server.port())
					.start()) {
			for (int i = 0; i < EARLIER_REQUESTS; i++) {
				gateway.exchange(TestGateway.getRequest("/read/x", "earlier-" + i));
			}
			assertThat(gateway.exchange(TestGateway.getRequest("/read/x", "i"))).startsWith("HTTP/1.1 200 ")
				.endsWith("done");
			assertThat(requests).hasValue(EARLIER_REQUESTS + 2);
			assertThat(gateway.heldResponseBytes()).isZero();
		}
	}

	private static void respond(TestServer.Request request, Socket socket, boolean incomplete) throws IOException {
		if (incomplete) {
			TestServer.write(socket,
					"HTTP/1.1 500 Internal Server Error\r\nTest-Id: " + request.headers().get("test-id")
							+ "\r\nTest-Signature: s\r\nContent-Length: 15000\r\n\r\n" + PART);
			return;
		}
		TestServer.write(socket, TestServer.ok(request, "done"));
	}

}
