package org.lovagevale.gateway;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against idle connections to servers that keep the long IDs of many requests.
 */
@Timeout(30)
class LongRequestIdTests {

	private static final int REQUESTS = 8;

	private static final String LONG_ID = "i".repeat(6_000);

	@Test
	void connectionIsNotUsedAgainAfterARequestWithALongId() throws Exception {
		try (TestServer server = new TestServer(
				(request, socket) -> TestServer.write(socket, TestServer.ok(request, "done")));
				TestGateway gateway = new TestGateway(List.of()).publishConfiguration(6_000)
					.publishServer("a", server.port())
					.start()) {
			for (int i = 0; i < REQUESTS; i++) {
				assertThat(gateway.exchange(TestGateway.getRequest("/read/x", LONG_ID + i)))
					.startsWith("HTTP/1.1 200 ");
			}
			assertThat(server.connectionCount()).isGreaterThanOrEqualTo(REQUESTS);
		}
	}

}
