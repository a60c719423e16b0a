package org.lovagevale.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against bodies that wait for a server to take them and are not accounted for.
 */
@Timeout(30)
class UntakenRequestBodyTests {

	private static final int BODY_BYTES = 16_000_000;

	/** What waits for a server at least when reading from the caller stops. */
	private static final int MIN_UNTAKEN_BYTES = 32_768;

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private ServerSocket server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::accept);
		this.gateway = new TestGateway(List.of()).setMaxBodyBytes(BODY_BYTES)
			.publishConfiguration(6_000)
			.publishServer("a", this.server.getLocalPort())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
	}

	@Test
	void aBodyThatIsTooLargeToBeSentAgainIsAccountedForUntilAServerTakesIt() throws Exception {
		try (Socket caller = this.gateway.connect()) {
			TestServer.write(caller, "POST /write/1 HTTP/1.1\r\nHost: a.example\r\nTest-Id: x\r\nTest-Time: 6000\r\n"
					+ "Content-Length: " + BODY_BYTES + "\r\n\r\n");
			Thread.ofVirtual().start(() -> upload(caller));
			awaitHeld(MIN_UNTAKEN_BYTES, Long.MAX_VALUE);
			// The caller is not read any more, and the body still waits.
			Thread.sleep(500);
			assertThat(this.gateway.heldBytes()).isGreaterThanOrEqualTo(MIN_UNTAKEN_BYTES);
			for (Socket socket : this.sockets) {
				socket.close();
			}
			awaitHeld(0, 0);
		}
	}

	private void awaitHeld(long minBytes, long maxBytes) throws Exception {
		for (int i = 0; i < 150 && !isHeld(minBytes, maxBytes); i++) {
			Thread.sleep(20);
		}
		assertThat(this.gateway.heldBytes()).isBetween(minBytes, maxBytes);
	}

	private boolean isHeld(long minBytes, long maxBytes) {
		long bytes = this.gateway.heldBytes();
		return bytes >= minBytes && bytes <= maxBytes;
	}

	private static void upload(Socket caller) {
		String piece = "b".repeat(64_000);
		try {
			for (int i = 0; i < BODY_BYTES; i += piece.length()) {
				TestServer.write(caller, piece);
			}
		}
		catch (IOException ex) {
			// The connection is closed at the end of the test.
		}
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				this.sockets.add(socket);
				Thread.ofVirtual().start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The server was closed at the end of the test.
		}
	}

	// Responds to health checks, and reads nothing of a request but its first bytes.
	private static void serve(Socket socket) {
		try {
			byte[] buffer = new byte[1_024];
			int count = socket.getInputStream().read(buffer);
			while (count > 0 && new String(buffer, 0, count, StandardCharsets.ISO_8859_1).startsWith("GET /health")) {
				TestServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
				count = socket.getInputStream().read(buffer);
			}
		}
		catch (IOException ex) {
			// The entry process closed the connection.
		}
	}

}
