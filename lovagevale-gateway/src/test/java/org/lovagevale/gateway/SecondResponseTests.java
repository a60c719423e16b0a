package org.lovagevale.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a second response, whole or broken off, that changes the response to a
 * later request.
 */
@Timeout(60)
class SecondResponseTests {

	private static final String SECOND_RESPONSE = "HTTP/1.1 200 OK\r\nServer: test\r\nTest-Signature: first\r\n"
			+ "Test-Id: first-whole\r\nContent-Length: 2\r\n\r\nok";

	/** Maximum number of connections that the requests of a test are spread over. */
	private static final int MAX_CONNECTIONS = 4;

	private TestServer server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		this.gateway = new TestGateway(List.of()).publishConfiguration(1_000)
			.publishServer("a", this.server.port())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
	}

	@Test
	void failureAfterAPartOfASecondResponseOnAnIdleConnectionIsNotASuccess() throws Exception {
		for (int length = 1; length < SECOND_RESPONSE.length(); length++) {
			String part = SECOND_RESPONSE.substring(0, length);
			assertThat(responseToFailedRequest("idle" + length, part, "")).as("after %s", part)
				.startsWith("HTTP/1.1 50");
		}
	}

	@Test
	void idleConnectionOnWhichAPartOfASecondResponseArrivesIsNotUsedAgain() throws Exception {
		CompletableFuture<Integer> next = new CompletableFuture<>();
		this.server.setHandler((request, socket) -> {
			TestServer.write(socket, TestServer.ok(request, "hello"));
			sleep(5);
			TestServer.write(socket, "H");
			next.complete(socket.getInputStream().read());
		});
		assertThat(exchange("idle")).startsWith("HTTP/1.1 200");
		assertThat(next.get(3, TimeUnit.SECONDS)).as("end of the connection instead of a request").isEqualTo(-1);
	}

	@Test
	void failureDirectlyBehindAPartOfASecondResponseIsNotASuccess() throws Exception {
		for (int length = 1; length < SECOND_RESPONSE.length(); length++) {
			String part = SECOND_RESPONSE.substring(0, length);
			assertThat(responseToFailedRequest("behind" + length, "", part)).as("behind %s", part)
				.startsWith("HTTP/1.1 50");
		}
	}

	@Test
	void failureBehindAWholeSecondResponseIsNotASuccess() throws Exception {
		assertThat(responseToFailedRequest("whole", "", SECOND_RESPONSE)).startsWith("HTTP/1.1 500");
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\nServer ", "HTTP/1.1 200 OK\r\nServer \t",
			"HTTP/1.1 200 OK\r\nServer: ", "HTTP/1.1 200 OK\r\nServer: a\r\n b" })
	void failureBehindAPartThatEndsInAHeaderIsNotASuccess(String part) throws Exception {
		assertThat(responseToFailedRequest("header", "", part)).startsWith("HTTP/1.1 50");
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1  500", "http/1.1 500", "HTTP/1.0 500" })
	void failureWithAnUnusualStatusLineBehindAPartIsNotASuccess(String statusLine) throws Exception {
		this.server.setHandler((request, socket) -> TestServer.write(socket,
				"HTTP/1.1 200 " + failure(request.headers().get("test-id")).replace("HTTP/1.1 500", statusLine)));
		assertThat(exchange("unusual")).startsWith("HTTP/1.1 50");
	}

	@ParameterizedTest
	@ValueSource(strings = { "never-sent", "" })
	void responseBehindAFailureWithAnIdThatWasNotSentIsNotPassedOn(String id) throws Exception {
		this.server.setHandler((request, socket) -> {
			TestServer.write(socket, failure(id));
			sleep(10);
			TestServer.write(socket, TestServer.ok(request, "ok"));
		});
		assertThat(exchange("unknown")).startsWith("HTTP/1.1 50");
	}

	// The copies of several responses may be held up and arrive together. Requests may
	// use
	// more than one connection, since health checks need one as well.
	@ParameterizedTest
	@ValueSource(ints = { 1, 3, 4, 8 })
	void secondResponsesThatArriveTogetherDoNotFailTheNextRequest(int earlier) throws Exception {
		Map<Socket, List<String>> responsesByConnection = new ConcurrentHashMap<>();
		AtomicReference<String> requestBehindCopies = new AtomicReference<>();
		this.server.setHandler((request, socket) -> {
			List<String> copies = responsesByConnection.computeIfAbsent(socket, (key) -> new ArrayList<>());
			String response = TestServer.ok(request, "answer");
			boolean complete = copies.size() == earlier
					&& requestBehindCopies.compareAndSet(null, request.headers().get("test-id"));
			TestServer.write(socket, complete ? String.join("", copies) + response : response);
			copies.add(response);
		});
		for (int i = 0; i < MAX_CONNECTIONS * earlier + 1 && requestBehindCopies.get() == null; i++) {
			assertThat(exchange("id-" + i)).startsWith("HTTP/1.1 200").contains("Test-Id: id-" + i + "\r\n");
		}
		assertThat(requestBehindCopies).as("request whose response came behind the copies").doesNotHaveNullValue();
	}

	@Test
	void logLinesDoNotHoldTheWholeHeadOfAMalformedResponse() throws Exception {
		Logger logger = (Logger) LoggerFactory.getLogger("org.lovagevale.gateway");
		ListAppender<ILoggingEvent> appender = new ListAppender<>();
		appender.start();
		logger.addAppender(appender);
		try {
			this.server.setHandler((request, socket) -> TestServer.write(socket,
					"HTTP/1.1 " + "9".repeat(60_000) + " OK\r\nTest-Id: x\r\n\r\n"));
			exchange("log");
		}
		finally {
			logger.detachAppender(appender);
		}
		assertThat(List.copyOf(appender.list)).allMatch((event) -> event.getFormattedMessage().length() < 2_000);
	}

	/**
	 * Sends two requests, of which the server serves the first one and fails the second.
	 * @param name distinguishes the requests, since failing ones are quarantined
	 * @param idlePart what the server sends after the first response
	 * @param leadingPart what the server sends directly before the second response
	 * @return the response to the second request
	 */
	private String responseToFailedRequest(String name, String idlePart, String leadingPart) throws Exception {
		AtomicInteger requests = new AtomicInteger();
		this.server.setHandler((request, socket) -> {
			if (requests.getAndIncrement() == 0) {
				TestServer.write(socket, TestServer.ok(request, "hello"));
				sleep(idlePart.isEmpty() ? 0 : 2);
				TestServer.write(socket, idlePart);
				return;
			}
			TestServer.write(socket, leadingPart + failure(request.headers().get("test-id")));
		});
		assertThat(exchange("first-" + name)).startsWith("HTTP/1.1 200");
		// Lets the part arrive while the connection is idle.
		sleep(idlePart.isEmpty() ? 0 : 10);
		return exchange("second-" + name);
	}

	private String exchange(String name) throws IOException {
		return this.gateway.exchange(TestGateway.postRequest("/write/" + name, name, "x"));
	}

	private static void sleep(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String failure(String id) {
		return "HTTP/1.1 500 Internal Server Error\r\nTest-Signature: s\r\nTest-Id: " + id
				+ "\r\nContent-Length: 0\r\n\r\n";
	}

}
