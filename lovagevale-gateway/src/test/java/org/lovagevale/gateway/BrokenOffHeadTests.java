package org.lovagevale.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a response that breaks off in its head and looks like a success to its
 * caller.
 */
@Timeout(120)
class BrokenOffHeadTests {

	private static final int MAX_SENDS = 40;

	private TestServer server;

	private TestGateway gateway;

	private volatile int headLength;

	private volatile String framing = "";

	private volatile boolean framingFirst;

	private volatile boolean resetting;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer(this::breakOff);
		this.gateway = new TestGateway(List.of()).publishConfiguration(1_000)
			.publishServer("a", this.server.port())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
	}

	private void breakOff(TestServer.Request request, Socket socket) throws IOException {
		if (request.requestLine().contains("/intact")) {
			TestServer.write(socket, TestServer.ok(request, "hello"));
			return;
		}
		TestServer.write(socket, head(request.headers().get("test-id")).substring(0, this.headLength));
		if (this.resetting) {
			socket.setSoLinger(true, 0);
		}
		else {
			socket.shutdownOutput();
			socket.getInputStream().transferTo(OutputStream.nullOutputStream());
		}
		socket.close();
	}

	private String head(String id) {
		String fields = "Test-Id: " + id + "\r\nTest-Signature: s\r\n";
		return "HTTP/1.1 200 OK\r\n" + (this.framingFirst ? this.framing + fields : fields + this.framing) + "\r\n";
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			Content-Length: 10         | false | GET /read/   | 1.1
			Content-Length: 10         | false | GET /read/   | 1.0
			Content-Length: 10         | false | POST /write/ | 1.1
			Content-Length: 10         | false | POST /write/ | 1.0
			Content-Length: 10         | true  | GET /read/   | 1.1
			Content-Length: 0          | false | GET /read/   | 1.1
			Content-Length: 0          | true  | POST /write/ | 1.1
			Transfer-Encoding: chunked | false | GET /read/   | 1.1
			Transfer-Encoding: chunked | false | GET /read/   | 1.0
			Transfer-Encoding: chunked | false | POST /write/ | 1.1
			Transfer-Encoding: chunked | false | POST /write/ | 1.0
			Transfer-Encoding: chunked | true  | GET /read/   | 1.1
			''                         | false | GET /read/   | 1.1
			''                         | false | GET /read/   | 1.0
			''                         | false | POST /write/ | 1.1
			''                         | false | POST /write/ | 1.0
			Connection: close          | false | GET /read/   | 1.1
			Connection: close          | true  | POST /write/ | 1.0
			""")
	void headThatBreaksOffIsNoSuccess(String header, boolean first, String methodAndPrefix, String version)
			throws Exception {
		this.framing = header.isEmpty() ? "" : header + "\r\n";
		this.framingFirst = first;
		int length = head("000000").length();
		for (int i = 0; i < length; i++) {
			this.headLength = i;
			for (boolean reset : new boolean[] { false, true }) {
				this.resetting = reset;
				sendUntilReceived(methodAndPrefix, version, 2 * i + (reset ? 1 : 0));
			}
		}
	}

	// The process stops sending to a server for a time after several failures.
	private void sendUntilReceived(String methodAndPrefix, String version, int number) throws Exception {
		for (int send = 0; send < MAX_SENDS; send++) {
			int before = this.server.requests().size();
			String id = String.format("%04d%02d", number, send);
			String response = exchange(request(methodAndPrefix + id, version, id));
			assertThat(response).as("%s bytes of the head, reset: %s", this.headLength, this.resetting)
				.doesNotStartWith("HTTP/1.1 2")
				.doesNotStartWith("HTTP/1.0 2");
			if (this.server.requests().size() > before) {
				exchange(request("GET /read/intact" + id, "1.1", "i" + id));
				return;
			}
			Thread.sleep(50);
		}
		throw new AssertionError("the server did not receive a request");
	}

	private static String request(String target, String version, String id) {
		boolean hasBody = target.startsWith("POST");
		return target + " HTTP/" + version + "\r\nHost: a.example\r\nTest-Id: " + id + "\r\nTest-Time: 3000\r\n"
				+ (hasBody ? "Content-Length: 1\r\n\r\nx" : "\r\n");
	}

	private String exchange(String request) throws IOException {
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, request);
			return new String(socket.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1);
		}
	}

}
