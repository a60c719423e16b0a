package org.lovagevale.gateway;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.CountDownLatch;

/**
 * A sound head and a body without end, by the way in which it is framed and sent.
 *
 * <p>
 * Immutable and thread-safe.
 */
enum EndlessBody {

	CHUNKED("Transfer-Encoding: chunked\r\n", "400\r\n" + "x".repeat(1_024) + "\r\n", 10),

	LENGTH("Content-Length: 1000000000\r\n", "x".repeat(1_024), 10),

	NO_LENGTH("", "x".repeat(1_024), 10),

	SINGLE_BYTES("Content-Length: 1000000000\r\n", "x", 50),

	SINGLE_BYTE_CHUNKS("Transfer-Encoding: chunked\r\n", "1\r\nx\r\n", 50),

	FLOOD("Content-Length: 1000000000\r\n", "x".repeat(10_000), 0);

	private final String framing;

	private final String part;

	private final long intervalMs;

	EndlessBody(String framing, String part, long intervalMs) {
		this.framing = framing;
		this.part = part;
		this.intervalMs = intervalMs;
	}

	/**
	 * Sends the response until the connection is closed.
	 * @param request the request
	 * @param socket the connection
	 * @param closed counted down when the connection was closed by the other side
	 * @throws IOException always, when the connection was closed
	 */
	void send(TestServer.Request request, Socket socket, CountDownLatch closed) throws IOException {
		try {
			TestServer.write(socket, "HTTP/1.1 200 OK\r\nTest-Id: " + request.headers().get("test-id")
					+ "\r\nTest-Signature: s\r\n" + this.framing + "\r\n");
			while (true) {
				TestServer.write(socket, this.part);
				pause(this.intervalMs);
			}
		}
		catch (SocketException ex) {
			closed.countDown();
			throw ex;
		}
	}

	private static void pause(long millis) throws IOException {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

}
