package org.lovagevale.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that wait for earlier ones on their connection without need,
 * responses in another order than their requests, and requests that overtake one which
 * must not run beside them.
 */
@Timeout(60)
class PipeliningTests {

	private static final int MAX_CONCURRENT_REQUESTS = 4;

	/** A server of the test takes three requests at a time. */
	private static final int SERVERS = 3;

	/** Time within which a request that may start is at its server, in milliseconds. */
	private static final long START_MS = 5_000;

	/** Time after which a request that has not started counts as waiting. */
	private static final long WAITING_MS = 400;

	/** Time within which the end of a request reaches its server, in milliseconds. */
	private static final long MAX_END_DELAY_MS = 500;

	private final Map<String, CountDownLatch> released = new ConcurrentHashMap<>();

	private final Map<String, CountDownLatch> cancelled = new ConcurrentHashMap<>();

	private TestServer server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer((request, socket) -> {
			await(request.headers().get("test-id"));
			TestServer.write(socket, TestServer.ok(request, "body of " + request.headers().get("test-id")));
		});
		this.gateway = new TestGateway(List.of()).publishConfiguration(10_000);
		for (int i = 0; i < SERVERS; i++) {
			this.gateway.publishServer("s" + i, this.server.port());
		}
		this.gateway.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.released.values().forEach(CountDownLatch::countDown);
		this.gateway.close();
		this.server.close();
	}

	private CountDownLatch latch(String id) {
		return this.released.computeIfAbsent(id, (key) -> new CountDownLatch(1));
	}

	private void release(String... ids) {
		for (String id : ids) {
			latch(id).countDown();
		}
	}

	private void await(String id) {
		try {
			latch(id).await(20, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Waits until the entry process closes the connection, which cancels the request.
	private void awaitCancel(TestServer.Request request, Socket socket) {
		String id = request.headers().get("test-id");
		try {
			if (socket.getInputStream().read() < 0) {
				this.cancelled.computeIfAbsent(id, (key) -> new CountDownLatch(1)).countDown();
			}
		}
		catch (IOException ex) {
			this.cancelled.computeIfAbsent(id, (key) -> new CountDownLatch(1)).countDown();
		}
	}

	private void assertCancelled(String... ids) throws InterruptedException {
		for (String id : ids) {
			CountDownLatch latch = this.cancelled.computeIfAbsent(id, (key) -> new CountDownLatch(1));
			assertThat(latch.await(MAX_END_DELAY_MS, TimeUnit.MILLISECONDS)).as("cancelled " + id).isTrue();
		}
	}

	private static String read(String id) {
		return TestGateway.getRequest("/read/x", id).replace("3000", "10000");
	}

	private static String write(String id) {
		return TestGateway.postRequest("/write/x", id, "b").replace("3000", "10000");
	}

	private void awaitAtServer(String... ids) throws InterruptedException {
		await(() -> atServer().containsAll(List.of(ids)));
		assertThat(atServer()).contains(ids);
	}

	private List<String> atServer() {
		return this.server.requests().stream().map((request) -> request.headers().get("test-id")).toList();
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		for (int i = 0; i < START_MS / 10 && !condition.getAsBoolean(); i++) {
			Thread.sleep(10);
		}
	}

	private static void assertResponse(Socket caller, String id) throws IOException {
		assertThat(TestGateway.readResponse(caller)).startsWith("HTTP/1.1 200 ").endsWith("body of " + id);
	}

	private static void assertNothingArrives(Socket caller) throws Exception {
		Thread.sleep(200);
		assertThat(caller.getInputStream().available()).isZero();
	}

	@Test
	void readsRunAtTheSameTimeAndAreAnsweredInOrder() throws Exception {
		try (Socket caller = this.gateway.connect()) {
			TestServer.write(caller, read("1") + read("2") + read("3"));
			awaitAtServer("1", "2", "3");
			release("3");
			assertNothingArrives(caller);
			release("2");
			assertNothingArrives(caller);
			release("1");
			assertResponse(caller, "1");
			assertResponse(caller, "2");
			assertResponse(caller, "3");
		}
		assertThat(this.gateway.process().metrics().scrape())
			.contains("lovagevale_gateway_pipelined_requests_total 2.0")
			.contains("lovagevale_gateway_pipelined_responses_total 2.0");
		assertThat(this.gateway.heldResponseBytes()).isZero();
		assertThat(this.gateway.heldBytes()).isZero();
	}

	@Test
	void noMoreThanTheLimitRunAtTheSameTime() throws Exception {
		try (Socket caller = this.gateway.connect()) {
			for (int i = 1; i <= MAX_CONCURRENT_REQUESTS + 2; i++) {
				TestServer.write(caller, read("" + i));
			}
			awaitAtServer("1", "2", "3", "4");
			release("2", "3");
			Thread.sleep(WAITING_MS);
			assertThat(atServer()).hasSize(MAX_CONCURRENT_REQUESTS);
			release("1");
			awaitAtServer("5", "6");
			release("4", "5", "6");
			for (int i = 1; i <= MAX_CONCURRENT_REQUESTS + 2; i++) {
				assertResponse(caller, "" + i);
			}
		}
	}

	@Test
	void nonIdempotentRequestRunsAloneBetweenTwoReads() throws Exception {
		try (Socket caller = this.gateway.connect()) {
			TestServer.write(caller, read("1") + write("2") + read("3"));
			awaitAtServer("1");
			Thread.sleep(WAITING_MS);
			assertThat(atServer()).containsExactly("1");
			release("1");
			awaitAtServer("2");
			Thread.sleep(WAITING_MS);
			assertThat(atServer()).containsExactly("1", "2");
			release("2");
			awaitAtServer("3");
			release("3");
			assertResponse(caller, "1");
			assertResponse(caller, "2");
			assertResponse(caller, "3");
		}
	}

	@Test
	void requestThatClosesTheConnectionStartsWhenItIsTheFirst() throws Exception {
		try (Socket caller = this.gateway.connect()) {
			TestServer.write(caller,
					read("1") + read("2").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n") + read("3"));
			awaitAtServer("1");
			Thread.sleep(WAITING_MS);
			assertThat(atServer()).containsExactly("1");
			release("1", "2", "3");
			assertResponse(caller, "1");
			assertThat(TestGateway.readResponse(caller)).containsIgnoringCase("connection: close")
				.endsWith("body of 2");
			assertThat(caller.getInputStream().read()).isEqualTo(-1);
		}
		assertThat(atServer()).containsExactly("1", "2");
	}

	@Test
	void rejectionOfALaterRequestWaitsForItsTurn() throws Exception {
		try (Socket caller = this.gateway.connect()) {
			TestServer.write(caller, read("1") + read("2").replace("Test-Id: 2\r\n", "") + read("3"));
			awaitAtServer("1");
			assertNothingArrives(caller);
			release("1");
			assertResponse(caller, "1");
			assertThat(TestGateway.readResponse(caller)).startsWith("HTTP/1.1 400 ")
				.containsIgnoringCase("connection: close");
			assertThat(caller.getInputStream().read()).isEqualTo(-1);
		}
		assertThat(atServer()).containsExactly("1");
	}

	@Test
	void laterRequestThatFailsDoesNotAffectTheOthers() throws Exception {
		this.server.setHandler((request, socket) -> {
			String id = request.headers().get("test-id");
			if (id.equals("2")) {
				TestServer.write(socket, TestServer.ok(request, "x".repeat(60_000)).substring(0, 50_000));
				Thread.ofVirtual().start(() -> closeLater(socket));
				return;
			}
			await(id);
			TestServer.write(socket, TestServer.ok(request, "body of " + id));
		});
		try (Socket caller = this.gateway.connect()) {
			TestServer.write(caller, read("1") + read("2") + read("3"));
			awaitAtServer("1", "2", "3");
			Thread.sleep(WAITING_MS);
			release("3", "1");
			assertResponse(caller, "1");
			assertThat(TestGateway.readResponse(caller)).startsWith("HTTP/1.1 502 ");
			assertResponse(caller, "3");
		}
		assertThat(this.gateway.process().metrics().scrape())
			.contains("lovagevale_gateway_pipelined_responses_replaced_total 1.0");
		assertThat(this.gateway.heldResponseBytes()).isZero();
	}

	private static void closeLater(Socket socket) {
		try {
			Thread.sleep(100);
			socket.close();
		}
		catch (IOException | InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void earlierRequestWhoseServerClosesOrResetsDoesNotAffectTheOthers(boolean reset) throws Exception {
		this.server.setHandler((request, socket) -> {
			String id = request.headers().get("test-id");
			if (id.equals("1")) {
				await("1");
				socket.setSoLinger(reset, 0);
				socket.close();
				return;
			}
			TestServer.write(socket, TestServer.ok(request, "body of " + id));
		});
		try (Socket caller = this.gateway.connect()) {
			TestServer.write(caller, read("1") + read("2") + read("3"));
			awaitAtServer("1", "2", "3");
			release("1");
			assertThat(TestGateway.readResponse(caller)).matches("(?s)HTTP/1.1 50[23] .*");
			assertResponse(caller, "2");
			assertResponse(caller, "3");
		}
	}

	// Guards against a response in the middle of another one.
	@Test
	void laterResponseWaitsForTheEndOfOneThatArrivesSlowly() throws Exception {
		String body = "a".repeat(60_000);
		this.server.setHandler((request, socket) -> {
			String id = request.headers().get("test-id");
			if (!id.equals("1")) {
				TestServer.write(socket, TestServer.ok(request, "body of " + id));
				return;
			}
			String response = TestServer.ok(request, body);
			TestServer.write(socket, response.substring(0, 30_000));
			await("1");
			TestServer.write(socket, response.substring(30_000));
		});
		try (Socket caller = this.gateway.connect()) {
			TestServer.write(caller, read("1") + read("2") + read("3"));
			awaitAtServer("1", "2", "3");
			await(() -> this.gateway.heldResponseBytes() > 0);
			Thread.sleep(200);
			release("1");
			assertThat(TestGateway.readResponse(caller)).endsWith("\r\n\r\n" + body);
			assertResponse(caller, "2");
			assertResponse(caller, "3");
		}
	}

	// The test protocol throws an exception for a time that is not a number.
	@Test
	void internalErrorOfALaterRequestIsAnsweredInItsTurn() throws Exception {
		try (Socket caller = this.gateway.connect()) {
			TestServer.write(caller, read("1") + read("2").replace("10000", "soon") + read("3"));
			awaitAtServer("1");
			assertNothingArrives(caller);
			release("1");
			assertResponse(caller, "1");
			assertThat(TestGateway.readResponse(caller)).startsWith("HTTP/1.1 500 ")
				.containsIgnoringCase("connection: close");
			assertThat(caller.getInputStream().read()).isEqualTo(-1);
		}
		assertThat(atServer()).containsExactly("1");
	}

	@Test
	void laterRequestsAreCancelledWhenTheFirstResponseIsAborted() throws Exception {
		this.server.setHandler((request, socket) -> {
			if (request.headers().get("test-id").equals("1")) {
				await("1");
				TestServer.write(socket, TestServer.ok(request, "x".repeat(60_000)).substring(0, 50_000));
				socket.close();
				return;
			}
			awaitCancel(request, socket);
		});
		try (Socket caller = this.gateway.connect()) {
			TestServer.write(caller, read("1") + read("2") + read("3"));
			awaitAtServer("1", "2", "3");
			release("1");
			assertThat(caller.getInputStream().readAllBytes()).hasSizeLessThan(60_000);
			assertCancelled("2", "3");
		}
		assertThat(this.gateway.heldBytes()).isZero();
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void allRequestsAreCancelledWhenTheirCallerLeaves(boolean reset) throws Exception {
		this.server.setHandler((request, socket) -> {
			if (request.headers().get("test-id").equals("2")) {
				TestServer.write(socket, TestServer.ok(request, "x".repeat(60_000)).substring(0, 50_000));
			}
			awaitCancel(request, socket);
		});
		try (Socket caller = this.gateway.connect()) {
			TestServer.write(caller, read("1") + read("2") + read("3"));
			awaitAtServer("1", "2", "3");
			await(() -> this.gateway.heldResponseBytes() > 0);
			assertThat(this.gateway.heldResponseBytes()).isPositive();
			caller.setSoLinger(reset, 0);
		}
		assertCancelled("1", "2", "3");
		assertThat(this.gateway.heldResponseBytes()).isZero();
		assertThat(this.gateway.heldBytes()).isZero();
	}

	// Guards against requests that are cut off behind one which cannot be read.
	@Test
	void earlierRequestsAreAnsweredBeforeAMalformedOne() throws Exception {
		try (Socket caller = this.gateway.connect()) {
			TestServer.write(caller, read("1") + read("2") + "GET /read/x HTTP/1.1\r\nbad header\r\n\r\n");
			awaitAtServer("1", "2");
			release("2", "1");
			assertResponse(caller, "1");
			assertResponse(caller, "2");
			assertThat(TestGateway.readResponse(caller)).startsWith("HTTP/1.1 400 ");
			assertThat(caller.getInputStream().read()).isEqualTo(-1);
		}
	}

	@Test
	void startedRequestsAreAnsweredDuringAPlannedStop() throws Exception {
		try (Socket caller = this.gateway.connect()) {
			TestServer.write(caller, read("1") + read("2") + write("3"));
			awaitAtServer("1", "2");
			Thread stop = Thread.ofVirtual().start(this.gateway.process()::stop);
			Thread.sleep(200);
			release("2", "1", "3");
			assertThat(TestGateway.readResponse(caller)).endsWith("body of 1").doesNotContainIgnoringCase("close");
			assertThat(TestGateway.readResponse(caller)).containsIgnoringCase("connection: close")
				.endsWith("body of 2");
			assertThat(caller.getInputStream().read()).isEqualTo(-1);
			stop.join();
		}
		assertThat(atServer()).containsExactlyInAnyOrder("1", "2");
	}

}
