package org.lovagevale.node.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against bytes that a server sends after a response and that are taken for the
 * response to the next request on the connection, or for a part of it.
 */
@Timeout(60)
class SurplusResponseTests {

	private static final String OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Server: a\r\n"
			+ "Content-Length: 12\r\n\r\nhello world!";

	private static final String FAILURE = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno";

	private static final String GET_REQUEST = "GET /transfers/1 HTTP/1.1\r\nHost: a\r\n\r\n";

	private static final int IDLE_TIME_MS = 5;

	private final CountDownLatch firstHandled = new CountDownLatch(1);

	private volatile boolean closeExpected;

	private volatile boolean firstRequestEnded;

	static IntStream lengths() {
		return IntStream.rangeClosed(1, OK_RESPONSE.length());
	}

	@ParameterizedTest
	@MethodSource("lengths")
	void partOfASecondResponseOnAnIdleConnectionDoesNotTurnAFailureIntoASuccess(int length) throws Exception {
		this.closeExpected = true;
		String part = OK_RESPONSE.substring(0, length);
		assertThat(secondResponse((connection) -> {
			write(connection, OK_RESPONSE);
			pause(IDLE_TIME_MS);
			write(connection, part);
		}, FAILURE)).startsWith("HTTP/1.1 500 ");
	}

	@ParameterizedTest
	@MethodSource("lengths")
	void partOfASecondResponseInTheSegmentOfTheFirstDoesNotTurnAFailureIntoASuccess(int length) throws Exception {
		this.closeExpected = true;
		String part = OK_RESPONSE.substring(0, length);
		assertThat(secondResponse((connection) -> write(connection, OK_RESPONSE + part), FAILURE))
			.startsWith("HTTP/1.1 500 ");
	}

	@ParameterizedTest
	@MethodSource("lengths")
	void partOfASecondResponseBeforeAFailureDoesNotTurnItIntoASuccess(int length) throws Exception {
		String part = OK_RESPONSE.substring(0, length);
		String response = secondResponse((connection) -> write(connection, OK_RESPONSE), part + FAILURE);
		boolean isSuccess = response.startsWith("HTTP/1.1 200 ")
				&& response.length() == response.indexOf("\r\n\r\n") + 4 + RawCaller.contentLength(response);
		assertThat(isSuccess).as(response).isFalse();
	}

	// Guards against a response that is dropped because an earlier one looked like its
	// end.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" })
	void responseBehindAnInterimOneIsPassedOn(String interim) throws Exception {
		assertThat(secondResponse((connection) -> write(connection, interim + OK_RESPONSE), interim + FAILURE))
			.startsWith("HTTP/1.1 500 ");
	}

	@Test
	void unrequestedChangeOfProtocolsIsNotPassedOn() throws Exception {
		assertThat(secondResponse((connection) -> write(connection, OK_RESPONSE),
				"HTTP/1.1 101 Switching Protocols\r\n\r\n" + OK_RESPONSE))
			.startsWith("HTTP/1.1 502 ");
	}

	// Guards against the body length of a HEAD response being taken for a body.
	@Test
	void headResponseDoesNotConsumeTheNextResponse() throws Exception {
		RawServer.RequestHandler handler = (head, in, connection) -> write(connection,
				head.startsWith("HEAD") ? "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n" : FAILURE);
		try (RawServer server = new RawServer(handler);
				HttpFixture fixture = new HttpFixture(server.port());
				RawCaller caller = new RawCaller(fixture.callerPort)) {
			caller.send(GET_REQUEST.replace("GET", "HEAD"));
			assertThat(RawCaller.readHead(caller.in)).startsWith("HTTP/1.1 200 ");
			caller.send(GET_REQUEST);
			assertThat(caller.readResponse()).startsWith("HTTP/1.1 500 ");
			assertThat(server.connectionCount).hasValue(1);
		}
	}

	private String secondResponse(FirstHandler first, String second) throws Exception {
		RawServer.RequestHandler handler = (head, in, connection) -> {
			if (this.firstRequestEnded) {
				write(connection, second);
			}
			else {
				first.write(connection);
				if (this.closeExpected) {
					assertThat(in.read()).isEqualTo(-1);
				}
				this.firstHandled.countDown();
			}
		};
		try (RawServer server = new RawServer(handler); HttpFixture fixture = new HttpFixture(server.port())) {
			try (RawCaller caller = new RawCaller(fixture.callerPort)) {
				caller.send(GET_REQUEST);
				assertThat(caller.readResponse()).startsWith("HTTP/1.1 200 ").endsWith("hello world!");
			}
			assertThat(this.firstHandled.await(10, TimeUnit.SECONDS)).as("connection with surplus bytes is closed")
				.isTrue();
			this.firstRequestEnded = true;
			try (RawCaller caller = new RawCaller(fixture.callerPort)) {
				caller.send(GET_REQUEST);
				return readResponseOrPart(caller);
			}
		}
	}

	// The connection is reset in the middle of a response that cannot be completed.
	private static String readResponseOrPart(RawCaller caller) throws IOException {
		StringBuilder response = new StringBuilder();
		try {
			response.append(RawCaller.readHead(caller.in));
			long length = RawCaller.contentLength(response.toString());
			for (long i = 0; i < length; i++) {
				int next = caller.in.read();
				if (next < 0) {
					break;
				}
				response.append((char) next);
			}
		}
		catch (IOException ex) {
			// What was read before the reset is returned.
		}
		return response.toString();
	}

	private static void write(Socket connection, String text) throws IOException {
		connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		connection.getOutputStream().flush();
	}

	private static void pause(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Writes the response to the first request and what follows it.
	 */
	@FunctionalInterface
	private interface FirstHandler {

		void write(Socket connection) throws IOException;

	}

}
