package org.lovagevale.gateway;

import java.util.List;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against kept connections to servers whose decoders hold the buffers of large
 * response heads.
 */
@Timeout(30)
class LargeResponseHeadTests {

	private static final int REQUESTS = 5;

	@ParameterizedTest
	@CsvSource({ "100, true", "4000, true", "20000, false" })
	void connectionIsUsedAgainOnlyWithoutALargeHead(int headerChars, boolean usedAgain) throws Exception {
		try (TestServer server = new TestServer((request, socket) -> TestServer.write(socket,
				TestServer.ok(request, "done")
					.replaceFirst("\r\n", "\r\nX-Note: " + "n".repeat(headerChars) + "\r\n")));
				TestGateway gateway = new TestGateway(List.of())) {
			gateway.publishConfiguration(2_000).publishServer("a", server.port()).start();
			for (int i = 0; i < REQUESTS; i++) {
				assertThat(gateway.exchange(TestGateway.getRequest("/read/1", "id-" + i))).startsWith("HTTP/1.1 200")
					.endsWith("done");
			}
			long forRequests = server.requests()
				.stream()
				.filter((request) -> request.requestLine().contains("/read/"))
				.count();
			assertThat(forRequests).isEqualTo(REQUESTS);
			assertThat(server.connectionCount() >= REQUESTS).isEqualTo(!usedAgain);
		}
	}

}
