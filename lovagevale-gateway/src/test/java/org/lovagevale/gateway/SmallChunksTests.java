package org.lovagevale.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against responses in small chunks of which each chunk takes a write of its own,
 * and against chunks that wait for the following ones.
 */
@Timeout(30)
class SmallChunksTests {

	/** A response of this size is passed on before it is complete. */
	private static final int FIRST_BYTES = 20_000;

	private static final int SMALL_CHUNKS = 4_000;

	private static final int SLOW_CHUNKS = 20;

	private final Semaphore chunksReceived = new Semaphore(0);

	private TestServer server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer(this::respond);
		this.gateway = new TestGateway(List.of()).publishConfiguration(9_000)
			.publishServer("a", this.server.port())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
	}

	@Test
	void chunksThatArriveTogetherArePassedOnTogether() throws Exception {
		try (Socket socket = request("/read/together")) {
			InputStream in = socket.getInputStream();
			int bytes = 0;
			int chunks = 0;
			for (String chunk = readChunk(in); !chunk.isEmpty(); chunk = readChunk(in)) {
				bytes += chunk.length();
				chunks++;
			}
			assertThat(bytes).isEqualTo(FIRST_BYTES + SMALL_CHUNKS);
			assertThat(chunks).isLessThanOrEqualTo(SMALL_CHUNKS / 10);
		}
	}

	@Test
	void chunksThatArriveSlowlyDoNotWaitForTheNextOne() throws Exception {
		try (Socket socket = request("/read/slowly")) {
			InputStream in = socket.getInputStream();
			for (int bytes = 0; bytes < FIRST_BYTES;) {
				bytes += readChunk(in).length();
			}
			for (int i = 0; i < SLOW_CHUNKS; i++) {
				this.chunksReceived.release();
				assertThat(readChunk(in)).isEqualTo("x");
			}
			this.chunksReceived.release();
			assertThat(readChunk(in)).isEmpty();
		}
	}

	private Socket request(String path) throws IOException {
		Socket socket = this.gateway.connect();
		TestServer.write(socket, TestGateway.getRequest(path, "i"));
		StringBuilder head = new StringBuilder();
		while (!head.toString().endsWith("\r\n\r\n")) {
			head.append((char) socket.getInputStream().read());
		}
		assertThat(head.toString().toLowerCase(Locale.ROOT)).startsWith("http/1.1 200 ")
			.contains("transfer-encoding: chunked");
		return socket;
	}

	private void respond(TestServer.Request request, Socket socket) throws IOException {
		TestServer.write(socket,
				"HTTP/1.1 200 OK\r\nTest-Id: i\r\nTest-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
						+ Integer.toHexString(FIRST_BYTES) + "\r\n" + "f".repeat(FIRST_BYTES) + "\r\n");
		if (request.requestLine().contains("together")) {
			TestServer.write(socket, "1\r\nx\r\n".repeat(SMALL_CHUNKS) + "0\r\n\r\n");
			return;
		}
		for (int i = 0; i < SLOW_CHUNKS; i++) {
			awaitCaller();
			TestServer.write(socket, "1\r\nx\r\n");
		}
		awaitCaller();
		TestServer.write(socket, "0\r\n\r\n");
	}

	private void awaitCaller() throws IOException {
		try {
			if (!this.chunksReceived.tryAcquire(5, TimeUnit.SECONDS)) {
				throw new IOException("the caller has not received the last chunk");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String readChunk(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		while (!line.toString().endsWith("\r\n")) {
			line.append((char) in.read());
		}
		int size = Integer.parseInt(line.toString().trim(), 16);
		String chunk = new String(in.readNBytes(size));
		assertThat(in.readNBytes(2)).hasSize(2);
		return chunk;
	}

}
