package org.lovagevale.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against messages that go on after a part of them could not be written.
 */
@Timeout(30)
class FailedWriteTests {

	private static final String CHUNK = "0123456789".repeat(2_000);

	private static final int CHUNKS = 3;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.gateway = new TestGateway(List.of()).setMaxBodyBytes(1_000_000).publishConfiguration(2_000);
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 })
	void callerGetsNothingAfterAPartOfAResponseThatCouldNotBeWritten(int failingWrite) throws Exception {
		try (TestServer server = new TestServer(
				(request, socket) -> TestServer.write(socket, chunkedResponse(request)))) {
			this.gateway.publishServer("a", server.port()).start();
			String whole = decode(sendPipelined(-1));
			assertThat(whole).isEqualTo("one " + CHUNK.repeat(CHUNKS) + " end two " + CHUNK.repeat(CHUNKS) + " end ");
			assertThat(whole).startsWith(decode(sendPipelined(failingWrite)));
		}
	}

	private static String chunkedResponse(TestServer.Request request) {
		String chunk = Integer.toHexString(CHUNK.length()) + "\r\n" + CHUNK + "\r\n";
		return "HTTP/1.1 200 OK\r\nTest-Id: " + request.headers().get("test-id")
				+ "\r\nTest-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk.repeat(CHUNKS) + "0\r\n\r\n";
	}

	// Returns the identities and bodies of responses, each complete one with a mark at
	// its end.
	private static String decode(String responses) {
		StringBuilder decoded = new StringBuilder();
		int at = 0;
		for (int headEnd = responses.indexOf("\r\n\r\n"); headEnd >= at; headEnd = responses.indexOf("\r\n\r\n", at)) {
			String head = responses.substring(at, headEnd).toLowerCase(Locale.ROOT);
			assertThat(head).startsWith("http/1.1 200 ").contains("transfer-encoding: chunked");
			decoded.append(head.replaceAll("(?s).*\r\ntest-id: (\\w+).*", "$1")).append(' ');
			at = headEnd + 4;
			for (int lineEnd = responses.indexOf("\r\n", at); lineEnd >= 0; lineEnd = responses.indexOf("\r\n", at)) {
				assertThat(responses.substring(at, lineEnd)).matches("[0-9a-f]+");
				int size = Integer.parseInt(responses.substring(at, lineEnd), 16);
				at = Math.min(responses.length(), lineEnd + 2 + size);
				decoded.append(responses, lineEnd + 2, at);
				at = Math.min(responses.length(), at + 2);
				if (size == 0) {
					decoded.append(" end ");
					break;
				}
			}
		}
		return decoded.toString();
	}

	// Sends two requests at once and reads until the connection is closed.
	private String sendPipelined(int failingWrite) throws Exception {
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, TestGateway.getRequest("/read/0", "zero"));
			readToEndOfChunks(socket);
			if (failingWrite >= 0) {
				assertThat(FailingWrites.install(this.gateway, socket.getLocalPort(), failingWrite)).isEqualTo(1);
			}
			TestServer.write(socket, TestGateway.getRequest("/read/1", "one") + closing("/read/2", "two"));
			return readAll(socket);
		}
	}

	private static String closing(String path, String id) {
		return TestGateway.getRequest(path, id).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
	}

	private static void readToEndOfChunks(Socket socket) throws IOException {
		StringBuilder text = new StringBuilder();
		while (!text.toString().endsWith("\r\n0\r\n\r\n")) {
			byte[] bytes = new byte[4_096];
			int count = socket.getInputStream().read(bytes);
			text.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
		}
	}

	private static String readAll(Socket socket) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try {
			socket.getInputStream().transferTo(bytes);
		}
		catch (IOException ex) {
			// What arrived before a reset or a timeout counts.
		}
		return bytes.toString(StandardCharsets.ISO_8859_1);
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 2, 3, 4 })
	void serverGetsNothingAfterAPartOfARequestThatCouldNotBeWritten(int failingWrite) throws Exception {
		BlockingQueue<String> received = new LinkedBlockingQueue<>();
		try (ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
			Thread.ofVirtual().start(() -> accept(listening, received));
			this.gateway.publishServer("a", listening.getLocalPort()).start();
			String parts = chunk('a') + chunk('b') + chunk('c') + chunk('d');
			try (Socket socket = this.gateway.connect()) {
				TestServer.write(socket,
						"POST /write/1 HTTP/1.1\r\nHost: a.example\r\nTest-Id: one\r\nTest-Time: 3000\r\n"
								+ "Transfer-Encoding: chunked\r\n\r\n" + chunk('A') + chunk('B') + chunk('C'));
				String begun = received.poll(5, TimeUnit.SECONDS);
				assertThat(begun).startsWith("POST");
				FailingWrites.install(this.gateway, listening.getLocalPort(), failingWrite);
				TestServer.write(socket, parts + "0\r\n\r\n");
				String rest = received.poll(8, TimeUnit.SECONDS);
				String body = bodyOf(begun + rest);
				assertThat(("A".repeat(30_000) + "B".repeat(30_000) + "C".repeat(30_000) + "a".repeat(30_000)
						+ "b".repeat(30_000) + "c".repeat(30_000) + "d".repeat(30_000)))
					.startsWith(body);
				assertThat(rest).doesNotEndWith("\r\n0\r\n\r\n");
			}
		}
	}

	private static String chunk(char letter) {
		return Integer.toHexString(30_000) + "\r\n" + String.valueOf(letter).repeat(30_000) + "\r\n";
	}

	private static String bodyOf(String request) {
		return request.substring(request.indexOf("\r\n\r\n") + 4)
			.replaceAll("\r\n|(?<=\n)[0-9a-f]+(?=\r)|^[0-9a-f]+(?=\r)", "");
	}

	// Queues what a connection has brought first and when it ends.
	private static void accept(ServerSocket listening, BlockingQueue<String> received) {
		try {
			while (true) {
				Socket socket = listening.accept();
				Thread.ofVirtual().start(() -> read(socket, received));
			}
		}
		catch (IOException ex) {
			// The server was closed at the end of the test.
		}
	}

	private static void read(Socket socket, BlockingQueue<String> received) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		boolean begun = false;
		try (socket) {
			InputStream in = socket.getInputStream();
			byte[] buffer = new byte[4_096];
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				bytes.write(buffer, 0, count);
				String text = bytes.toString(StandardCharsets.ISO_8859_1);
				if (text.startsWith("GET /health")) {
					TestServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
					bytes.reset();
				}
				else if (!begun && text.endsWith("C\r\n")) {
					begun = true;
					received.add(text);
					bytes.reset();
				}
				else if (begun && text.endsWith("\r\n0\r\n\r\n")) {
					break;
				}
			}
		}
		catch (IOException ex) {
			// What arrived before a reset counts.
		}
		if (begun) {
			received.add(bytes.toString(StandardCharsets.ISO_8859_1));
		}
	}

}
