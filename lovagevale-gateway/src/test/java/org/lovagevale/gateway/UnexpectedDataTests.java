package org.lovagevale.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.function.BinaryOperator;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against connections of callers that are closed without a response because a
 * server sent data that is no part of the expected response.
 */
@Timeout(120)
class UnexpectedDataTests {

	private static final Region WEST = new Region("west");

	/** Time for two heartbeats to a seed, after which each process knows the other. */
	private static final long CONTACT_EXCHANGE_MS = 2_500;

	/** Larger than a response that is buffered until it is complete. */
	private static final int STREAMED_BYTES = 200_000;

	/** Larger than a body that is read before the request is placed. */
	private static final int UPLOADED_BYTES = 90_000;

	/** Separates what a server sends into parts. */
	private static final String PAUSE = "\f";

	private ServerSocket server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::accept);
		this.gateway = new TestGateway(List.of()).setHomeRegions(WEST)
			.publishConfiguration(1_500)
			.publishServer("a", this.server.getLocalPort())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
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

	// The path of a request names its fault. It is responded to before its body is read.
	private static void serve(Socket socket) {
		try (socket) {
			BufferedReader in = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
			String earlierId = "";
			for (String line = in.readLine(); line != null; line = in.readLine()) {
				String[] path = line.split("[ /]+");
				String id = "";
				int length = 0;
				for (String header = in.readLine(); header != null && !header.isEmpty(); header = in.readLine()) {
					String value = header.substring(header.indexOf(':') + 1).trim();
					id = header.toLowerCase(Locale.ROOT).startsWith("test-id:") ? value : id;
					length = header.toLowerCase(Locale.ROOT).startsWith("content-length:") ? Integer.parseInt(value)
							: length;
				}
				Fault fault = path[1].equals("health") ? Fault.NONE : Fault.valueOf(path[2]);
				String response = fault.write.apply(id, earlierId);
				write(socket, path[0].equals("HEAD") ? response.replace("hello", "") : response);
				in.skip(length);
				earlierId = id;
			}
		}
		catch (IOException ex) {
			// The entry process closed the connection.
		}
	}

	private static void write(Socket socket, String response) throws IOException {
		for (String part : response.split(PAUSE)) {
			TestServer.write(socket, part);
			sleep(response.contains(PAUSE) ? 3 : 0);
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

	@ParameterizedTest
	@EnumSource(Fault.class)
	void keptConnectionGetsAResponseToEachRequest(Fault fault) throws Exception {
		assertResponses(this.gateway, fault, false);
	}

	@ParameterizedTest
	@EnumSource(Fault.class)
	void pipelinedRequestsAreAllAnswered(Fault fault) throws Exception {
		assertResponses(this.gateway, fault, true);
	}

	@Test
	void relayedRequestsAreAllAnswered() throws Exception {
		try (TestGateway remote = new TestGateway(TestAddresses.host(2), new FailureDomain("east-1"),
				new Region("east"), List.of(this.gateway.peerAddress()))) {
			remote.setHomeRegions(WEST)
				.publishConfiguration(1_500)
				.publishServer("a", this.server.getLocalPort())
				.start();
			Thread.sleep(CONTACT_EXCHANGE_MS);
			for (Fault fault : Fault.values()) {
				assertResponses(remote, fault, false);
				assertResponses(remote, fault, true);
			}
		}
	}

	private static void assertResponses(TestGateway entry, Fault fault, boolean pipelined) throws IOException {
		for (String method : List.of("GET /read", "HEAD /read", "POST /write", "UPLOAD /write")) {
			String name = fault + "-" + method.replace(" /", "-") + "-" + pipelined;
			// Late data may meet another request, whose time may also be used up.
			String sound = fault.status.isEmpty() ? "HTTP/1.1 " : "HTTP/1.1 200 ";
			String first = request("GET /read", Fault.NONE, "first-" + name);
			String second = request(method, fault, "second-" + name);
			String third = request("GET /read", Fault.NONE, "third-" + name);
			try (Socket socket = entry.connect()) {
				TestServer.write(socket, pipelined ? first + second + third : first);
				assertThat(read(socket, false)).as(name).startsWith(sound);
				TestServer.write(socket, pipelined ? "" : second);
				String response = read(socket, method.startsWith("HEAD"));
				assertThat(response).as(name).startsWith("HTTP/1.1 " + fault.status);
				if (response.toLowerCase(Locale.ROOT).contains("connection: close")) {
					// The response came before the body of its request.
					assertThat(method).as(name).isEqualTo("UPLOAD /write");
					assertThat(socket.getInputStream().read()).as(name).isEqualTo(-1);
					continue;
				}
				TestServer.write(socket, pipelined ? "" : third);
				assertThat(read(socket, false)).as(name).startsWith(sound);
			}
		}
	}

	private static String request(String method, Fault fault, String id) {
		String path = method.substring(method.indexOf('/')) + "/" + fault + "/" + id;
		return switch (method.substring(0, method.indexOf(' '))) {
			case "GET" -> TestGateway.getRequest(path, id);
			case "HEAD" -> TestGateway.getRequest(path, id).replace("GET", "HEAD");
			case "POST" -> TestGateway.postRequest(path, id, "x");
			default -> TestGateway.postRequest(path, id, "x".repeat(UPLOADED_BYTES));
		};
	}

	private static String read(Socket socket, boolean responseToHead) throws IOException {
		if (!responseToHead) {
			return TestGateway.readResponse(socket);
		}
		StringBuilder text = new StringBuilder();
		while (!text.toString().endsWith("\r\n\r\n")) {
			int next = socket.getInputStream().read();
			if (next < 0) {
				return text.toString();
			}
			text.append((char) next);
		}
		return text.toString();
	}

	/**
	 * What a server sends in place of the response to a request.
	 */
	private enum Fault {

		NONE("200", (id, earlier) -> TestServer.ok(id, "hello")),

		OTHER_REQUEST_NEVER_SENT("50", (id, earlier) -> TestServer.ok("never-sent", "hello")),

		OTHER_REQUEST_ONLY("", (id, earlier) -> TestServer.ok(earlier.isEmpty() ? "never-sent" : earlier, "hello")),

		OTHER_REQUEST_BEFORE_RESPONSE("200",
				(id, earlier) -> (earlier.isEmpty() ? "" : TestServer.ok(earlier, "hello"))
						+ TestServer.ok(id, "hello")),

		AFTER_RESPONSE_WHOLE("200", (id, earlier) -> TestServer.ok(id, "hello").repeat(2)),

		AFTER_RESPONSE_PART("200", (id, earlier) -> TestServer.ok(id, "hello") + "HTTP/1.1 200 OK\r\nTest-I"),

		AFTER_RESPONSE_BYTE("200", (id, earlier) -> TestServer.ok(id, "hello") + "x"),

		AFTER_STREAMED_RESPONSE("200",
				(id, earlier) -> TestServer.ok(id, "r".repeat(STREAMED_BYTES)) + "HTTP/1.1 200 OK\r\nTest-I"),

		MALFORMED_START("50", (id, earlier) -> "no response\r\n\r\n"),

		MALFORMED_INNER_STATUS_LINE("50", (id, earlier) -> "HTTP/1.1 200 OK\r\nServer: " + TestServer.ok(id, "hello")),

		MALFORMED_LENGTHS("50",
				(id, earlier) -> TestServer.ok(id, "hello").replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\n")),

		MALFORMED_CHUNK("",
				(id, earlier) -> TestServer.ok(id, "hello").replace("Content-Length: 5", "Transfer-Encoding: chunked")
						+ "\r\n"),

		NO_REQUEST_WHOLE("", (id, earlier) -> TestServer.ok(id, "hello") + PAUSE + TestServer.ok(id, "hello")),

		NO_REQUEST_PART("", (id, earlier) -> TestServer.ok(id, "hello") + PAUSE + "HTTP/1.1 200 OK\r\nTest-I"),

		SWITCHING_PROTOCOLS("50", (id, earlier) -> "HTTP/1.1 101 Switching Protocols\r\n\r\n"),

		NO_ID("50", (id, earlier) -> TestServer.ok(id, "hello").replace("Test-Id", "Other-Id"));

		/** The begin of the status, empty if it depends on the time or the method. */
		private final String status;

		private final BinaryOperator<String> write;

		Fault(String status, BinaryOperator<String> write) {
			this.status = status;
			this.write = write;
		}

	}

}
