package org.lovagevale.node.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagevale.core.FailureKind;
import org.lovagevale.core.event.AnswerHeadArrived;
import org.lovagevale.core.event.AttemptFailed;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a response whose status code does not exist, or the body of an interim
 * response, that is passed on as the response to a request.
 */
@Timeout(60)
class NonexistentStatusTests {

	private static final String INNER = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner";

	private static final String GET_REQUEST = "GET /transfers/1 HTTP/1.1\r\nHost: a\r\n\r\n";

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "999", "1000", "20", "-1", "+20", "2OO" })
	void responseIsAFailureAndItsConnectionIsClosed(String status) throws Exception {
		assertFailure("HTTP/1.1 " + status + " OK\r\nContent-Length: 5\r\n\r\nhello");
	}

	@ParameterizedTest
	@ValueSource(strings = { "100", "102", "103", "199" })
	void bodyOfAnInterimResponseIsNotTakenForTheFinalOne(String status) throws Exception {
		String head = "HTTP/1.1 " + status + " Interim\r\n";
		assertFailure(head + "Content-Length: " + INNER.length() + "\r\n\r\n" + INNER);
		assertFailure(head + "Transfer-Encoding: chunked\r\n\r\n" + INNER);
	}

	@Test
	void responseBehindAnInterimOneWithLengthZeroIsPassedOn() throws Exception {
		String interim = "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n";
		try (RawServer server = new RawServer((head, in, connection) -> write(connection, interim + INNER));
				HttpFixture fixture = new HttpFixture(server.port());
				RawCaller caller = new RawCaller(fixture.callerPort)) {
			caller.send(GET_REQUEST);
			assertThat(caller.readResponse()).startsWith("HTTP/1.1 200 ").endsWith("inner");
		}
	}

	private static void assertFailure(String response) throws Exception {
		try (RawServer server = new RawServer((head, in, connection) -> write(connection, response));
				HttpFixture fixture = new HttpFixture(server.port());
				RawCaller caller = new RawCaller(fixture.callerPort)) {
			for (int i = 1; i <= 2; i++) {
				caller.send(GET_REQUEST);
				assertThat(caller.readResponse()).startsWith("HTTP/1.1 502 ");
				assertThat(server.connectionCount).hasValue(i);
			}
			assertThat(fixture.logic.events(AnswerHeadArrived.class)).isEmpty();
			List<FailureKind> kinds = fixture.logic.events(AttemptFailed.class)
				.stream()
				.map(AttemptFailed::kind)
				.toList();
			assertThat(kinds).hasSize(2).allMatch((kind) -> kind == FailureKind.LOST_BEFORE_HEAD);
		}
	}

	private static void write(Socket connection, String text) throws IOException {
		connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		connection.getOutputStream().flush();
	}

}
