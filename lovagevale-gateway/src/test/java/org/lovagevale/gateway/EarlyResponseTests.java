package org.lovagevale.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.channel.Channel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;

/**
 * Guards against a second response in the middle of one that a server began before it had
 * read the request.
 */
@Timeout(30)
class EarlyResponseTests {

	/** A response of this size is passed on before it is complete. */
	private static final int BODY_BYTES = 100_000;

	private static final int SENT_BYTES = 50_000;

	private static final int MAX_REQUEST_BYTES = 500_000;

	private ServerSocket server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::accept);
		this.gateway = new TestGateway(List.of()).setMaxBodyBytes(MAX_REQUEST_BYTES)
			.publishConfiguration(9_000)
			.publishServer("a", this.server.getLocalPort())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
	}

	@Test
	void malformedBodyDoesNotAddASecondResponse() throws Exception {
		assertOneBrokenResponse("not a chunk\r\n");
	}

	@Test
	void oversizedBodyDoesNotAddASecondResponse() throws Exception {
		assertOneBrokenResponse(chunk(MAX_REQUEST_BYTES));
	}

	@Test
	void stalledBodyDoesNotAddASecondResponse() throws Exception {
		assertOneBrokenResponse("");
	}

	@Test
	void stalledBodyIsNotRejectedAsNotRunOnceAServerHasIt() throws Exception {
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, head("/write/silent") + chunk(100_000));
			String response = TestGateway.readResponse(socket);
			assertThat(response).startsWith("HTTP/1.1 504 ");
		}
	}

	@Test
	void responseThatEndsWithItsConnectionDoesNotLookCompleteAfterAStalledBody() throws Exception {
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket,
					"POST /write/unsized HTTP/1.0\r\nHost: a.example\r\nTest-Id: x\r\nTest-Time: 9000\r\n"
							+ "Content-Length: 200000\r\n\r\n" + "c".repeat(100_000));
			assertThat(socket.getInputStream().readNBytes(SENT_BYTES)).hasSize(SENT_BYTES);
			assertThatIOException().isThrownBy(() -> socket.getInputStream().readAllBytes())
				.withMessageContaining("reset");
		}
	}

	@Test
	void responseThatEndsWithItsConnectionIsResetIfTheProcessClosesIt() throws Exception {
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket,
					"POST /write/unsized HTTP/1.0\r\nHost: a.example\r\nTest-Id: x\r\nTest-Time: 9000\r\n"
							+ "Content-Length: 100000\r\n\r\n" + "c".repeat(100_000));
			assertThat(socket.getInputStream().readNBytes(SENT_BYTES)).hasSize(SENT_BYTES);
			this.gateway.loops().channelsTo(socket.getLocalPort()).forEach(Channel::close);
			assertThatIOException().isThrownBy(() -> socket.getInputStream().readAllBytes())
				.withMessageContaining("reset");
		}
	}

	private void assertOneBrokenResponse(String rest) throws Exception {
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, head("/write/early") + chunk(100_000));
			ByteArrayOutputStream received = new ByteArrayOutputStream();
			received.write(socket.getInputStream().readNBytes(SENT_BYTES / 2));
			TestServer.write(socket, rest);
			readToEnd(socket, received);
			String text = received.toString(StandardCharsets.ISO_8859_1);
			assertThat(text).startsWith("HTTP/1.1 200 ").containsOnlyOnce("HTTP/1.1");
			assertThat(text.length() - text.indexOf("\r\n\r\n") - 4).isLessThan(BODY_BYTES);
		}
	}

	private static void readToEnd(Socket socket, ByteArrayOutputStream received) {
		try {
			socket.getInputStream().transferTo(received);
		}
		catch (IOException ex) {
			// What arrived before a reset counts.
		}
	}

	private static String head(String path) {
		return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nTest-Id: x\r\nTest-Time: 9000\r\n"
				+ "Transfer-Encoding: chunked\r\n\r\n";
	}

	private static String chunk(int size) {
		return Integer.toHexString(size) + "\r\n" + "c".repeat(size) + "\r\n";
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				Thread.ofVirtual().start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The server was closed at the end of the test.
		}
	}

	private static void serve(Socket socket) {
		try (socket) {
			byte[] buffer = new byte[65_536];
			StringBuilder text = new StringBuilder();
			for (int count = socket.getInputStream().read(buffer); count >= 0; count = socket.getInputStream()
				.read(buffer)) {
				text.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
				if (text.toString().startsWith("GET /health")) {
					TestServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
					text.setLength(0);
				}
				else if (text.toString().startsWith("POST /write/unsized") && text.length() >= 100_000) {
					TestServer.write(socket,
							"HTTP/1.1 200 OK\r\nTest-Id: x\r\nTest-Signature: s\r\n\r\n" + "r".repeat(SENT_BYTES));
					text.setLength(0);
				}
				else if (text.toString().startsWith("POST /write/early") && text.length() >= 100_000) {
					TestServer.write(socket, "HTTP/1.1 200 OK\r\nTest-Id: x\r\nTest-Signature: s\r\nContent-Length: "
							+ BODY_BYTES + "\r\n\r\n" + "r".repeat(SENT_BYTES));
					text.setLength(0);
				}
			}
		}
		catch (IOException ex) {
			// The entry process closed the connection.
		}
	}

}
