package org.lovagevale.gateway;

import java.net.Socket;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against rejections without their body, since the request before had the method
 * HEAD.
 */
@Timeout(30)
class IncompleteHeadAfterHeadRequestTests {

	@Test
	void rejectionOfAnIncompleteHeadHasItsBody() throws Exception {
		try (TestServer server = new TestServer(
				(request, socket) -> TestServer.write(socket, TestServer.ok(request, "")));
				TestGateway gateway = new TestGateway(List.of()).publishConfiguration(6_000)
					.publishServer("a", server.port())
					.start();
				Socket caller = gateway.connect()) {
			TestServer.write(caller, TestGateway.getRequest("/read/x", "h").replace("GET ", "HEAD "));
			assertThat(TestGateway.readResponse(caller)).startsWith("HTTP/1.1 200 ");
			TestServer.write(caller, "GET /read/x HTTP/1.1\r\nHost: a.example\r\n");
			assertThat(TestGateway.readResponse(caller)).startsWith("HTTP/1.1 408 ").endsWith("}");
		}
	}

}
