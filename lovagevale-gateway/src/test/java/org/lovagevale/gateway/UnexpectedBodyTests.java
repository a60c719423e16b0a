package org.lovagevale.gateway;

import java.net.Socket;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against bodies of interim responses and of responses without content that reach
 * a caller or are taken for a part of another response.
 */
@Timeout(60)
class UnexpectedBodyTests {

	/** A response in the body of another one. */
	private static final String INNER = "HTTP/1.1 200 OK\r\nTest-Id: i\r\nTest-Signature: s\r\nContent-Length: 5\r\n\r\ninner";

	/** Number of the last path; failing requests to the same one are quarantined. */
	private int paths;

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

	private String responseBehind(String interim) throws Exception {
		this.server
			.setHandler((request, socket) -> TestServer.write(socket, interim + TestServer.ok(request, "hello")));
		return this.gateway.exchange(TestGateway.postRequest("/write/" + ++this.paths, "i", "x"));
	}

	@ParameterizedTest
	@ValueSource(strings = { "100", "102", "103", "199" })
	void bodyOfAnInterimResponseIsNotTakenForTheFinalOne(String status) throws Exception {
		String head = "HTTP/1.1 " + status + " Interim\r\n";
		for (String body : List.of(
				"Content-Length: " + INNER.length() + "\r\n\r\n" + INNER, "Transfer-Encoding: chunked\r\n\r\n"
						+ Integer.toHexString(INNER.length()) + "\r\n" + INNER + "\r\n0\r\n\r\n",
				"Content-Length: 5\r\n\r\nhello")) {
			assertThat(responseBehind(head + body)).as(body).startsWith("HTTP/1.1 502");
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "HTTP/1.1 199 Other\r\n\r\n" })
	void responseBehindInterimOnesIsPassedOn(String interim) throws Exception {
		assertThat(responseBehind(interim.repeat(20))).startsWith("HTTP/1.1 200").endsWith("hello");
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 101 Switching Protocols\r\n\r\n",
			"HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n" })
	void changeOfProtocolsIsAFailure(String interim) throws Exception {
		assertThat(responseBehind(interim)).startsWith("HTTP/1.1 502");
	}

	@Test
	void interimResponseBeforeTheEndOfTheConnectionIsAFailure() throws Exception {
		this.server.setHandler((request, socket) -> {
			TestServer.write(socket, "HTTP/1.1 103 Early Hints\r\n\r\n");
			socket.close();
		});
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 502");
	}

	// Guards against a body that arrives once its connection is in use by another
	// request.
	@ParameterizedTest
	@ValueSource(strings = { "Content-Length: 5", "Transfer-Encoding: chunked" })
	void connectionOfAResponseWithoutContentThatAnnouncesABodyIsNotUsedAgain(String framing) throws Exception {
		this.server.setHandler((request, socket) -> {
			TestServer.write(socket, "HTTP/1.1 204 No Content\r\nTest-Id: " + request.headers().get("test-id")
					+ "\r\nTest-Signature: s\r\n" + framing + "\r\n\r\n");
			assertThat(socket.getInputStream().read()).isEqualTo(-1);
		});
		for (int i = 0; i < 3; i++) {
			assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i-" + i, "x")))
				.startsWith("HTTP/1.1 204")
				.doesNotContainIgnoringCase("content-length")
				.doesNotContainIgnoringCase("transfer-encoding");
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "204", "304", "205" })
	void bodyOfAResponseWithoutContentDoesNotReachTheCaller(String status) throws Exception {
		for (String body : List.of("Content-Length: 5\r\n\r\nhello",
				"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "Connection: close\r\n\r\nhello")) {
			this.server.setHandler((request, socket) -> {
				TestServer.write(socket, "HTTP/1.1 " + status + " None\r\nTest-Id: " + request.headers().get("test-id")
						+ "\r\nTest-Signature: s\r\n" + body);
				if (body.contains("close")) {
					socket.close();
				}
			});
			try (Socket socket = this.gateway.connect()) {
				for (int i = 0; i < 2; i++) {
					TestServer.write(socket, TestGateway.getRequest("/read/1", body.length() + "-" + status + i));
					assertThat(readHead(socket)).as(body).startsWith("HTTP/1.1 " + status);
				}
				Thread.sleep(50);
				assertThat(socket.getInputStream().available()).as(body).isZero();
			}
		}
	}

	@Test
	void bodyOfAResponseToHeadDoesNotReachTheCaller() throws Exception {
		for (String body : List.of("Content-Length: 5\r\n\r\nhello",
				"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
				"Content-Length: " + INNER.length() + "\r\n\r\n" + INNER)) {
			this.server.setHandler((request, socket) -> TestServer.write(socket, "HTTP/1.1 200 OK\r\nTest-Id: "
					+ request.headers().get("test-id") + "\r\nTest-Signature: s\r\n" + body));
			try (Socket socket = this.gateway.connect()) {
				for (int i = 0; i < 2; i++) {
					TestServer.write(socket,
							TestGateway.getRequest("/read/1", body.length() + "-" + i).replace("GET", "HEAD"));
					assertThat(readHead(socket)).as(body).startsWith("HTTP/1.1 200");
				}
				Thread.sleep(50);
				assertThat(socket.getInputStream().available()).as(body).isZero();
			}
		}
	}

	private static String readHead(Socket socket) throws Exception {
		StringBuilder head = new StringBuilder();
		while (!head.toString().endsWith("\r\n\r\n")) {
			int next = socket.getInputStream().read();
			if (next < 0) {
				return head.toString();
			}
			head.append((char) next);
		}
		return head.toString();
	}

}
