package org.lovagevale.gateway;

import java.net.Socket;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against single requests that are refused or not answered although they are
 * valid, because their head has very many or odd lines.
 */
@Timeout(60)
class OddHeadTests {

	/** Nearly all of the limit on the size of a head, in bytes. */
	private static final int LINE_BYTES = 7_900;

	static Stream<Arguments> validLines() {
		return Stream.of(Arguments.of("short", "a:b\r\n".repeat(LINE_BYTES / 5)),
				Arguments.of("without a value", "a:\r\n".repeat(LINE_BYTES / 4)),
				Arguments.of("with a blank value", "a: \t \r\n".repeat(LINE_BYTES / 7)),
				Arguments.of("with different names",
						IntStream.range(0, 1_400).mapToObj((i) -> i + ":\r\n").collect(Collectors.joining())),
				Arguments.of("with the same long name", "X-Forwarded-For: 1\r\n".repeat(LINE_BYTES / 20)),
				Arguments.of("that name headers of one hop",
						IntStream.range(0, 500)
							.mapToObj((i) -> "Connection:" + i + "\r\n")
							.collect(Collectors.joining())),
				Arguments.of("folded", "a:b\r\n" + " b\r\n".repeat(LINE_BYTES / 4)),
				Arguments.of("with odd characters in names", "!#$%&'*+-.^_`|~:b\r\n".repeat(LINE_BYTES / 19)),
				Arguments.of("with characters of other alphabets", "a:\u00e4\u00df\u00ff\r\n".repeat(LINE_BYTES / 10)));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("validLines")
	void requestWithValidLinesIsServed(String name, String lines) throws Exception {
		try (TestServer server = new TestServer(
				(request, socket) -> TestServer.write(socket, TestServer.ok(request, "done")));
				TestGateway gateway = start(server)) {
			assertThat(gateway.exchange(request("/read/x", lines))).startsWith("HTTP/1.1 200 ");
			assertThat(gateway.exchange(request("/write/x", lines))).startsWith("HTTP/1.1 200 ");
			assertThat(gateway.exchange(request("/unknown/x", lines))).startsWith("HTTP/1.1 404 ");
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { ":\r\n", ":b\r\n", "a b:c\r\n", "a :b\r\n", "a\r\n" })
	void requestWithInvalidLinesIsRefusedAsMalformed(String line) throws Exception {
		try (TestServer server = new TestServer(
				(request, socket) -> TestServer.write(socket, TestServer.ok(request, "done")));
				TestGateway gateway = start(server)) {
			assertThat(gateway.exchange(request("/read/x", line.repeat(LINE_BYTES / line.length()))))
				.startsWith("HTTP/1.1 400 ");
			assertThat(gateway.exchange(request("/read/x", line))).startsWith("HTTP/1.1 400 ");
		}
	}

	@Test
	void headAboveTheLimitIsRefusedAsTooLarge() throws Exception {
		try (TestServer server = new TestServer(
				(request, socket) -> TestServer.write(socket, TestServer.ok(request, "done")));
				TestGateway gateway = start(server)) {
			assertThat(gateway.exchange(request("/read/x", "a:b\r\n".repeat(2 * LINE_BYTES / 5))))
				.startsWith("HTTP/1.1 431 ");
		}
	}

	@Test
	void pipelinedRequestsWithManyLinesAreServedInOrder() throws Exception {
		try (TestServer server = new TestServer(
				(request, socket) -> TestServer.write(socket, TestServer.ok(request, "done")));
				TestGateway gateway = start(server)) {
			String many = request("/read/x", "a:b\r\n".repeat(LINE_BYTES / 5));
			try (Socket socket = gateway.connect()) {
				TestServer.write(socket, many + many + request("/read/x", "a:b\r\n") + many);
				for (int i = 0; i < 4; i++) {
					assertThat(TestGateway.readResponse(socket)).startsWith("HTTP/1.1 200 ");
				}
			}
		}
	}

	private static TestGateway start(TestServer server) throws Exception {
		return new TestGateway(List.of()).publishConfiguration(10_000).publishServer("a", server.port()).start();
	}

	private static String request(String path, String lines) {
		return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nTest-Id: odd\r\n" + lines + "\r\n";
	}

}
