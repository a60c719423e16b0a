package org.lovagevale.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are given up because their server takes no data for a
 * while.
 */
@Timeout(30)
class PausingServerTests {

	private static final int REQUEST_BYTES = 8_000_000;

	/** Longer than data may stay unacknowledged on a connection that died. */
	private static final Duration PAUSE = Duration.ofMillis(2_300);

	/** Longer than a caller may pause within a request. */
	private static final Duration LONG_PAUSE = Duration.ofMillis(3_800);

	private ServerSocket server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		this.gateway = new TestGateway(List.of()).setMaxBodyBytes(REQUEST_BYTES)
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
	void connectionToAServerThatPausesIsNotTakenForDead() throws Exception {
		assertThat(upload(PAUSE)).startsWith("HTTP/1.1 200 ");
	}

	@Test
	void callerIsNotTakenForStalledWhileItsServerPauses() throws Exception {
		assertThat(upload(LONG_PAUSE)).startsWith("HTTP/1.1 200 ");
	}

	private String upload(Duration pause) throws Exception {
		Thread.ofVirtual().start(() -> accept(pause));
		try (Socket socket = this.gateway.connect()) {
			socket.setSoTimeout(12_000);
			Thread.ofVirtual().start(() -> write(socket));
			return TestGateway.readResponse(socket);
		}
	}

	private static void write(Socket socket) {
		try {
			TestServer.write(socket,
					"POST /write/1 HTTP/1.1\r\nHost: a.example\r\nTest-Id: x\r\nTest-Time: 9000\r\nContent-Length: "
							+ REQUEST_BYTES + "\r\n\r\n" + "c".repeat(REQUEST_BYTES));
		}
		catch (IOException ex) {
			// The entry process closed the connection after its response.
		}
	}

	private void accept(Duration pause) {
		try {
			while (true) {
				Socket socket = this.server.accept();
				Thread.ofVirtual().start(() -> serve(socket, pause));
			}
		}
		catch (IOException ex) {
			// The server was closed at the end of the test.
		}
	}

	private static void serve(Socket socket, Duration pause) {
		try (socket) {
			InputStream in = socket.getInputStream();
			for (int first = in.read(); first >= 0; first = in.read()) {
				skipHead(in);
				if (first == 'G') {
					TestServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
					continue;
				}
				Thread.sleep(pause);
				in.skipNBytes(REQUEST_BYTES);
				TestServer.write(socket, TestServer.ok("x", "done"));
			}
		}
		catch (IOException ex) {
			// The entry process closed the connection.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void skipHead(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (!head.toString().endsWith("\r\n\r\n")) {
			head.append((char) in.read());
		}
	}

}
