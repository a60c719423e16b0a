package org.lovagevale.gateway;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against a response without end that is passed on after the timeout of its
 * request and holds a slot, and against late responses that are ended although they are
 * sound.
 */
@Timeout(30)
class LateResponseTests {

	private static final long TIMEOUT_MS = 1_000;

	/** Time after the timeout by which callers must have a final response. */
	private static final long FINAL_AFTER_MS = 500;

	private final CountDownLatch closedByGateway = new CountDownLatch(1);

	private TestServer server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		this.gateway = new TestGateway(List.of()).publishConfiguration(TIMEOUT_MS)
			.publishServer("a", this.server.port())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
	}

	private static String request(String target, String id) {
		return TestGateway.postRequest("/write/1", id, "x").replace("POST /write/1", target);
	}

	@ParameterizedTest
	@CsvSource({ "CHUNKED,GET /read/1", "LENGTH,GET /read/1", "NO_LENGTH,GET /read/1", "SINGLE_BYTES,GET /read/1",
			"SINGLE_BYTE_CHUNKS,GET /read/1", "FLOOD,GET /read/1", "CHUNKED,POST /write/1", "FLOOD,POST /write/1",
			"SINGLE_BYTES,POST /write/1" })
	void responseWithoutEndIsEndedAndItsSlotIsFree(EndlessBody form, String target) throws Exception {
		this.server.setHandler((request, socket) -> form.send(request, socket, this.closedByGateway));
		long startedAt = System.nanoTime();
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, request(target, "endless"));
			assertThat(TestGateway.readToEnd(socket, TIMEOUT_MS + FINAL_AFTER_MS)).startsWith("HTTP/1.1 200");
		}
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt)).isGreaterThan(TIMEOUT_MS);
		assertThat(this.closedByGateway.await(500, TimeUnit.MILLISECONDS)).as("closed at the server").isTrue();
		this.server.setHandler((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		// A server that reports no load gets one request at a time.
		assertThat(this.gateway.exchange(request(target, "sound"))).startsWith("HTTP/1.1 200").endsWith("hello");
		assertThat(sends(this.gateway, "FAILED")).isOne();
		assertThat(this.gateway.process().metrics().scrape())
			.contains("lovagevale_gateway_responses_late_total{cause=\"OVERLONG\"");
	}

	private static int sends(TestGateway entry, String outcome) {
		return entry.process()
			.metrics()
			.scrape()
			.lines()
			.filter((line) -> line.startsWith("lovagevale_gateway_sends_total")
					&& line.contains("outcome=\"" + outcome + "\""))
			.mapToInt((line) -> (int) Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
			.sum();
	}

	@Test
	void responseWithoutEndDoesNotLookCompleteToAnHttp10Caller() throws Exception {
		this.server.setHandler((request, socket) -> EndlessBody.CHUNKED.send(request, socket, this.closedByGateway));
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, request("GET /read/1", "i").replace("HTTP/1.1", "HTTP/1.0"));
			assertThatThrownBy(() -> TestGateway.readToEnd(socket, TIMEOUT_MS + FINAL_AFTER_MS))
				.isInstanceOf(SocketException.class);
		}
	}

	@ParameterizedTest
	@EnumSource(names = { "CHUNKED", "LENGTH" })
	void responseWithoutEndDoesNotLookComplete(EndlessBody form) throws Exception {
		this.server.setHandler((request, socket) -> form.send(request, socket, this.closedByGateway));
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, request("GET /read/1", "i"));
			String response = TestGateway.readToEnd(socket, TIMEOUT_MS + FINAL_AFTER_MS);
			assertThat(response).startsWith("HTTP/1.1 200").contains("xxxx").doesNotContain("\r\n0\r\n");
			assertThat(response.length()).isLessThan(1_000_000);
		}
	}

	// Guards against a sound response that is ended because it is a little late.
	@ParameterizedTest
	@CsvSource({ "-100,GET /read/1", "100,GET /read/1", "300,GET /read/1", "-100,POST /write/1", "100,POST /write/1",
			"300,POST /write/1" })
	void soundResponseThatEndsNearTheTimeoutIsDelivered(long endsAfterMs, String target) throws Exception {
		long intervalMs = 50;
		long parts = (TIMEOUT_MS + endsAfterMs) / intervalMs;
		this.server.setHandler((request, socket) -> {
			long startedAt = System.nanoTime();
			TestServer.write(socket,
					"HTTP/1.1 200 OK\r\nTest-Id: i\r\nTest-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n");
			for (int i = 1; i <= parts; i++) {
				sleepUntil(startedAt, i * intervalMs);
				TestServer.write(socket, "4\r\npart\r\n");
			}
			TestServer.write(socket, "0\r\n\r\n");
		});
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, request(target, "i").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
			String response = new String(socket.getInputStream().readAllBytes());
			assertThat(response).startsWith("HTTP/1.1 200").endsWith("\r\n0\r\n\r\n");
			assertThat(response.split("part", -1)).hasSize((int) parts + 1);
		}
	}

	// A caller that takes a response without end slowly gets it until its own deadline.
	@Test
	void responseWithoutEndToASlowCallerIsEndedAfterItsDeadline() throws Exception {
		this.server.setHandler((request, socket) -> EndlessBody.FLOOD.send(request, socket, this.closedByGateway));
		long deadlineMs = 2_000;
		long startedAt = System.nanoTime();
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, request("GET /read/1", "i").replace("3000", String.valueOf(deadlineMs)));
			byte[] part = new byte[1_000];
			while (!isCounted("responses_late_total")) {
				socket.getInputStream().readNBytes(part, 0, part.length);
				assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt))
					.isLessThan(deadlineMs + FINAL_AFTER_MS);
			}
		}
		assertThat(sends(this.gateway, "FAILED")).isZero();
		assertThat(sends(this.gateway, "ABANDONED")).isOne();
	}

	private boolean isCounted(String metric) {
		return this.gateway.process().metrics().scrape().contains(metric + "{");
	}

	// Guards against a server whose endless responses are not counted, since their
	// callers leave first.
	@ParameterizedTest
	@ValueSource(strings = { "GET /read/1", "POST /write/1" })
	void serverHasFailedIfTheCallerLeavesAtTheTimeout(String target) throws Exception {
		this.server
			.setHandler((request, socket) -> EndlessBody.SINGLE_BYTES.send(request, socket, this.closedByGateway));
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, request(target, "i"));
			Thread.sleep(TIMEOUT_MS + 20);
			assertThat(socket.getInputStream().available()).isPositive();
		}
		for (int i = 0; i < 60 && sends(this.gateway, "FAILED") == 0; i++) {
			Thread.sleep(20);
		}
		assertThat(sends(this.gateway, "FAILED")).isOne();
	}

	private static void sleepUntil(long startedAt, long atMs) throws IOException {
		try {
			Thread.sleep(Math.max(0, atMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt)));
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

}
