package org.lovagevale.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a response without a length that is reset while the request is still
 * being written and then looks complete.
 */
@Timeout(30)
class ResetResponseTests {

	private static final int REQUEST_BYTES = 8_000_000;

	/** What the server reads of a request before it answers. */
	private static final int READ_BYTES = 200_000;

	private static final String WHOLE_BODY = "a".repeat(4_000) + "z".repeat(4_000);

	private ServerSocket server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		this.gateway = new TestGateway(List.of()).setMaxBodyBytes(REQUEST_BYTES)
			.publishConfiguration(2_000)
			.publishServer("a", this.server.getLocalPort())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
	}

	@Test
	void responseThatIsResetDoesNotLookComplete() throws Exception {
		serve(true);
		for (int i = 0; i < 8; i++) {
			String response = upload("id-" + i);
			assertThat(isCompleteSuccess(response)).as(response).isFalse();
		}
	}

	// The reset is noticed by the next write of the request, before the response is read.
	@Test
	void completeRejectionThatIsFollowedByAResetIsNotLost() throws Exception {
		Thread.ofVirtual().start(() -> {
			while (!this.server.isClosed()) {
				try (Socket socket = this.server.accept()) {
					rejectAndReset(socket);
				}
				catch (IOException ex) {
					// The gateway closed a connection, or the test is over.
				}
			}
		});
		for (int i = 0; i < 8; i++) {
			assertThat(upload("id-" + i)).startsWith("HTTP/1.1 503");
		}
	}

	private static void rejectAndReset(Socket socket) throws IOException {
		String read = new String(socket.getInputStream().readNBytes(1_024), StandardCharsets.ISO_8859_1);
		if (!read.startsWith("POST ")) {
			return;
		}
		socket.getInputStream().skipNBytes(READ_BYTES);
		String id = read.lines().filter((line) -> line.startsWith("Test-Id: ")).findFirst().orElseThrow();
		TestServer.write(socket, "HTTP/1.1 503 Busy\r\n" + id + "\r\nTest-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno");
		// Closing a socket with unread data resets the connection.
	}

	@Test
	void responseThatEndsWithItsConnectionIsPassedOn() throws Exception {
		serve(false);
		String response = upload("id-0");
		assertThat(isCompleteSuccess(response)).as(response).isTrue();
		assertThat(response).contains(WHOLE_BODY);
	}

	private static boolean isCompleteSuccess(String response) {
		boolean sized = response.toLowerCase(Locale.ROOT).contains("content-length:");
		return response.startsWith("HTTP/1.1 200") && (sized || response.endsWith("0\r\n\r\n"));
	}

	private void serve(boolean resetting) {
		Thread.ofVirtual().start(() -> {
			while (!this.server.isClosed()) {
				try (Socket socket = this.server.accept()) {
					answer(socket, resetting);
				}
				catch (IOException ex) {
					// The gateway closed a connection, or the test is over.
				}
			}
		});
	}

	private static void answer(Socket socket, boolean resetting) throws IOException {
		String read = new String(socket.getInputStream().readNBytes(1_024), StandardCharsets.ISO_8859_1);
		if (!read.startsWith("POST ")) {
			return;
		}
		socket.getInputStream().skipNBytes(READ_BYTES);
		String id = read.lines().filter((line) -> line.startsWith("Test-Id: ")).findFirst().orElseThrow();
		String head = "HTTP/1.1 200 OK\r\n" + id + "\r\nTest-Signature: s\r\nConnection: close\r\n\r\n";
		if (resetting) {
			TestServer.write(socket, head + WHOLE_BODY.substring(0, WHOLE_BODY.length() / 2));
			sleep(10);
			socket.setSoLinger(true, 0);
			return;
		}
		TestServer.write(socket, head + WHOLE_BODY);
		socket.shutdownOutput();
		socket.getInputStream().transferTo(OutputStream.nullOutputStream());
	}

	private String upload(String id) throws IOException, InterruptedException {
		try (Socket socket = this.gateway.connect()) {
			Thread writer = Thread.ofVirtual().start(() -> {
				try {
					TestServer.write(socket, TestGateway.postRequest("/write/" + id, id, "x".repeat(REQUEST_BYTES)));
				}
				catch (IOException ex) {
					// The response came before the end of the request.
				}
			});
			String response;
			try {
				response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			}
			catch (IOException ex) {
				response = "";
			}
			writer.join();
			return response;
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
