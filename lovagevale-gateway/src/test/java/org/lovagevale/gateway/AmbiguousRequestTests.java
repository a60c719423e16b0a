package org.lovagevale.gateway;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request whose end is read at the wrong offset, so that its bytes are
 * taken for the next request of the connection.
 */
@Timeout(30)
class AmbiguousRequestTests {

	private static final String IDENTITY = "Host: a.example\r\nTest-Id: i\r\nTest-Time: 3000\r\n";

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

	@ParameterizedTest
	@ValueSource(strings = { "GET /read/a HTTP/1.1GET /read/b HTTP/1.1\r\n", "GET /read/a\r\n",
			"GET /read/a HTTP/1.\r\n", "GET /read/a HTTP/1.1 x\r\n", "GET /read/a HTTP/1.10\r\n",
			"GET /read/a XHTTP/1.1\r\n", "G\0ET /read/a HTTP/1.1\r\n",
			"GET /read/a HTTP/1.1\r\nX-PaGET /read/b HTTP/1.1\r\n", "GET /read/a HTTP/1.1\r\nX-Part\r\n",
			"GET /read/a HTTP/1.1\r\n: x\r\n", "GET /read/a HTTP/1.1\r\nX : y\r\n",
			"GET /read/a HTTP/1.1\r\nX: a\rb\r\n", "GET /read/a HTTP/1.1\r\nX: a\0b\r\n" })
	void malformedHeadIsRejected(String start) throws Exception {
		assertRejected(start + IDENTITY + "\r\n");
	}

	@ParameterizedTest
	@ValueSource(strings = { "Content-Length: 1\r\nContent-Length: 2\r\n", "Content-Length: 1, 2\r\n",
			"Content-Length: +1\r\n", "Content-Length: -1\r\n", "Content-Length: 0x1\r\n", "Content-Length: 1 1\r\n",
			"Content-Length:\r\n", "Content-Length : 1\r\n", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
			"Transfer-Encoding: identity\r\n", "Transfer-Encoding: xchunked\r\n",
			"Transfer-Encoding: chunked, identity\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
			"Transfer-Encoding : chunked\r\n", "Transfer-Encoding: \"chunked\"\r\n", "Content-Length: 1\r\n 2\r\n",
			"Transfer-Encoding: chunked, chunked\r\n" })
	void ambiguousLengthIsRejected(String fields) throws Exception {
		assertRejected("POST /write/a HTTP/1.1\r\n" + IDENTITY + fields + "\r\n1\r\nx\r\n0\r\n\r\n");
	}

	@ParameterizedTest
	@ValueSource(strings = { "+1\r\nx\r\n", "-1\r\nx\r\n", "0x1\r\nx\r\n", "1 1\r\nx\r\n", "\r\nx\r\n", "g\r\nx\r\n",
			"1\r\nxyz\r\n", "1\r\nx", "fffffffffffffffff1\r\nx\r\n" })
	void malformedChunkIsNotForwardedAsACompleteRequest(String chunk) throws Exception {
		String response = send(
				"POST /write/a HTTP/1.1\r\n" + IDENTITY + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n");
		assertThat(response).doesNotStartWith("HTTP/1.1 2");
	}

	private void assertRejected(String request) throws IOException {
		assertThat(send(request)).startsWith("HTTP/1.1 400");
		assertThat(this.server.requests()).isEmpty();
	}

	// Reads until the gateway closes the connection or sends nothing more.
	private String send(String request) throws IOException {
		try (Socket socket = this.gateway.connect()) {
			socket.setSoTimeout(2_000);
			TestServer.write(socket, request);
			return new String(socket.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1);
		}
		catch (SocketTimeoutException ex) {
			return "";
		}
	}

}
