package org.lovagevale.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a hedged request whose losing attempt goes on or keeps its slot, whose
 * caller gets two responses or a failure of one attempt, or that is sent to more servers
 * than its route allows.
 */
@Timeout(60)
class HedgedRequestTests {

	private static final long WORK_MS = 100;

	/** First attempts that earn the share and the budget of some hedged requests. */
	private static final int WARMUP_REQUESTS = 24;

	/** Time within which the losing attempt must be cancelled, in milliseconds. */
	private static final long MAX_CANCEL_MS = 500;

	private static final long MAX_WAIT_MS = 5_000;

	/** The server that got the hedged request first. It reports that it is slow. */
	private final AtomicReference<TestServer> first = new AtomicReference<>();

	private final CountDownLatch secondReceived = new CountDownLatch(1);

	private final CountDownLatch firstCancelled = new CountDownLatch(1);

	private final CountDownLatch secondCancelled = new CountDownLatch(1);

	private TestServer.RequestHandler firstHandler = (request, socket) -> awaitCancelled(socket, this.firstCancelled);

	private TestServer.RequestHandler secondHandler = (request, socket) -> TestServer.write(socket,
			TestServer.ok(request, "second"));

	private TestServer serverA;

	private TestServer serverB;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.serverA = new TestServer((request, socket) -> handle(this.serverA, request, socket));
		this.serverB = new TestServer((request, socket) -> handle(this.serverB, request, socket));
		this.serverA.setHealthHandler((request, socket) -> reportLoad(this.serverA, socket));
		this.serverB.setHealthHandler((request, socket) -> reportLoad(this.serverB, socket));
	}

	private void startGateway(TestGateway created) throws Exception {
		this.gateway = created;
		publish(created).start();
		warmUp(created);
	}

	private TestGateway publish(TestGateway created) {
		return created.publishConfiguration(3_000)
			.publishServer("a", this.serverA.port())
			.publishServer("b", this.serverB.port());
	}

	// The requests take longer than the roster needs to be settled.
	private static void warmUp(TestGateway entry) throws IOException {
		for (int i = 0; i < WARMUP_REQUESTS; i++) {
			assertThat(entry.exchange(TestGateway.getRequest("/read/warmup", "w" + i))).contains(" 200 ");
		}
	}

	private void startHedgingGateway() throws Exception {
		startGateway(TestGateway.withSecondSendShare(0.2));
	}

	@AfterEach
	void stop() throws IOException {
		if (this.gateway != null) {
			this.gateway.close();
		}
		this.serverA.close();
		this.serverB.close();
	}

	private void handle(TestServer server, TestServer.Request request, Socket socket) throws IOException {
		if (request.requestLine().contains("/warmup")) {
			pause(WORK_MS);
			TestServer.write(socket, TestServer.ok(request, "warm"));
		}
		else if (this.first.compareAndSet(null, server) || this.first.get() == server) {
			this.firstHandler.handle(request, socket);
		}
		else {
			this.secondReceived.countDown();
			this.secondHandler.handle(request, socket);
		}
	}

	private void reportLoad(TestServer server, Socket socket) throws IOException {
		String load = (this.first.get() == server) ? "1/0/3/500" : "0/0/3/100";
		TestServer.write(socket, "HTTP/1.1 200 OK\r\nTest-Load: " + load + "\r\nContent-Length: 0\r\n\r\n");
	}

	private static void pause(long millis) throws IOException {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

	private static void await(CountDownLatch latch) throws IOException {
		try {
			latch.await(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

	// The entry process cancels a request by closing its connection.
	private static void awaitCancelled(Socket socket, CountDownLatch cancelled) throws IOException {
		try {
			if (socket.getInputStream().read() < 0) {
				cancelled.countDown();
			}
		}
		catch (IOException ex) {
			cancelled.countDown();
			throw ex;
		}
	}

	private int receivedCount() {
		return (int) (received(this.serverA) + received(this.serverB));
	}

	private static long received(TestServer server) {
		return server.requests().stream().filter((request) -> !request.requestLine().contains("/warmup")).count();
	}

	private void assertMetric(String text) {
		assertThat(this.gateway.process().metrics().scrape().lines().filter((line) -> line.contains("hedges")).toList())
			.anyMatch((line) -> line.contains(text));
	}

	@Test
	void secondServerAnswersAndTheFirstAttemptIsCancelled() throws Exception {
		startHedgingGateway();
		assertThat(this.gateway.exchange(TestGateway.getRequest("/read/x", "h1"))).contains(" 200 ").endsWith("second");
		assertThat(this.firstCancelled.await(MAX_CANCEL_MS, TimeUnit.MILLISECONDS)).isTrue();
		assertThat(receivedCount()).isEqualTo(2);
		assertMetric("event=\"offered\"");
		assertMetric("event=\"sent\"");
		assertMetric("event=\"won\"");
		assertThat(this.gateway.process().metrics().scrape()).contains("outcome=\"ABANDONED\"");
	}

	@Test
	void firstServerAnswersAndTheSecondAttemptIsCancelled() throws Exception {
		this.firstHandler = (request, socket) -> {
			await(this.secondReceived);
			TestServer.write(socket, TestServer.ok(request, "first"));
		};
		this.secondHandler = (request, socket) -> awaitCancelled(socket, this.secondCancelled);
		startHedgingGateway();
		assertThat(this.gateway.exchange(TestGateway.getRequest("/read/x", "h1"))).contains(" 200 ").endsWith("first");
		assertThat(this.secondCancelled.await(MAX_CANCEL_MS, TimeUnit.MILLISECONDS)).isTrue();
		assertMetric("event=\"lost\"");
	}

	@Test
	void responseOfTheSecondServerIsAwaitedAfterTheFirstOneFailed() throws Exception {
		CountDownLatch firstFailed = new CountDownLatch(1);
		this.firstHandler = (request, socket) -> {
			await(this.secondReceived);
			socket.close();
			firstFailed.countDown();
		};
		this.secondHandler = (request, socket) -> {
			await(firstFailed);
			pause(WORK_MS);
			TestServer.write(socket, TestServer.ok(request, "second"));
		};
		startHedgingGateway();
		assertThat(this.gateway.exchange(TestGateway.getRequest("/read/x", "h1"))).contains(" 200 ").endsWith("second");
		assertThat(receivedCount()).isEqualTo(2);
		assertMetric("event=\"first-LOST\"");
	}

	@Test
	void responseOfTheFirstServerIsAwaitedAfterTheSecondOneFailed() throws Exception {
		CountDownLatch secondFailed = new CountDownLatch(1);
		this.firstHandler = (request, socket) -> {
			await(secondFailed);
			pause(WORK_MS);
			TestServer.write(socket, TestServer.ok(request, "first"));
		};
		this.secondHandler = (request, socket) -> {
			TestServer.write(socket, "HTTP/1.1 500 Error\r\nTest-Id: " + request.headers().get("test-id")
					+ "\r\nTest-Signature: s\r\nContent-Length: 0\r\n\r\n");
			secondFailed.countDown();
		};
		startHedgingGateway();
		assertThat(this.gateway.exchange(TestGateway.getRequest("/read/x", "h1"))).contains(" 200 ").endsWith("first");
		assertThat(receivedCount()).isEqualTo(2);
	}

	private static void failAsNotRun(TestServer.Request request, Socket socket) throws IOException {
		TestServer.write(socket, "HTTP/1.1 503 Failed\r\nTest-Id: " + request.headers().get("test-id")
				+ "\r\nTest-Signature: s\r\nContent-Length: 20000\r\n\r\n" + "x".repeat(20_000));
	}

	// Guards against a status which says that the request was not run, of a server that
	// has run it.
	@Test
	void responseOfTheFirstServerIsAwaitedAfterTheSecondOneSaysThatItHasNotRun() throws Exception {
		CountDownLatch secondFailed = new CountDownLatch(1);
		this.firstHandler = (request, socket) -> {
			await(secondFailed);
			pause(WORK_MS);
			TestServer.write(socket, TestServer.ok(request, "first"));
		};
		this.secondHandler = (request, socket) -> {
			failAsNotRun(request, socket);
			secondFailed.countDown();
		};
		startHedgingGateway();
		assertThat(this.gateway.exchange(TestGateway.getRequest("/read/x", "h1"))).contains(" 200 ").endsWith("first");
		assertThat(receivedCount()).isEqualTo(2);
	}

	@Test
	void requestThatBothServersHaveRunIsNotCalledNotRun() throws Exception {
		this.firstHandler = (request, socket) -> {
			await(this.secondReceived);
			failAsNotRun(request, socket);
		};
		this.secondHandler = (request, socket) -> {
			pause(WORK_MS);
			failAsNotRun(request, socket);
		};
		startHedgingGateway();
		assertThat(this.gateway.exchange(TestGateway.getRequest("/read/x", "h1"))).contains(" 502 ");
		assertThat(receivedCount()).isEqualTo(2);
	}

	@Test
	void requestIsNotSentAThirdTimeAfterBothAttemptsFailed() throws Exception {
		this.firstHandler = (request, socket) -> {
			await(this.secondReceived);
			socket.close();
		};
		this.secondHandler = (request, socket) -> {
			pause(WORK_MS);
			socket.close();
		};
		startHedgingGateway();
		assertThat(this.gateway.exchange(TestGateway.getRequest("/read/x", "h1"))).contains(" 502 ");
		assertThat(receivedCount()).isEqualTo(2);
	}

	@Test
	void bothAttemptsAreCancelledWhenTheCallerDisconnects() throws Exception {
		this.secondHandler = (request, socket) -> awaitCancelled(socket, this.secondCancelled);
		startHedgingGateway();
		try (Socket caller = this.gateway.connect()) {
			TestServer.write(caller, TestGateway.getRequest("/read/x", "h1"));
			assertThat(this.secondReceived.await(MAX_WAIT_MS, TimeUnit.MILLISECONDS)).isTrue();
		}
		assertThat(this.firstCancelled.await(MAX_CANCEL_MS, TimeUnit.MILLISECONDS)).isTrue();
		assertThat(this.secondCancelled.await(MAX_CANCEL_MS, TimeUnit.MILLISECONDS)).isTrue();
	}

	@Test
	void bothAttemptsAreCancelledAtTheTimeout() throws Exception {
		this.secondHandler = (request, socket) -> awaitCancelled(socket, this.secondCancelled);
		startHedgingGateway();
		assertThat(this.gateway.exchange(TestGateway.getRequest("/read/x", "h1"))).contains(" 504 ");
		assertThat(this.firstCancelled.await(MAX_CANCEL_MS, TimeUnit.MILLISECONDS)).isTrue();
		assertThat(this.secondCancelled.await(MAX_CANCEL_MS, TimeUnit.MILLISECONDS)).isTrue();
		assertThat(receivedCount()).isEqualTo(2);
	}

	// One of the two processes is the dispatcher of the service; the other one gets the
	// offer by a message.
	@ParameterizedTest
	@ValueSource(ints = { 0, 1 })
	void requestOfEachEntryVmOfTheRegionIsHedged(int sender) throws Exception {
		startHedgingGateway();
		try (TestGateway other = publish(
				TestGateway.withSecondSendShare(0.2, TestAddresses.host(2), List.of(this.gateway.peerAddress())))
			.start()) {
			TestGateway entry = List.of(this.gateway, other).get(sender);
			warmUp(entry);
			assertThat(entry.exchange(TestGateway.getRequest("/read/x", "h1"))).contains(" 200 ").endsWith("second");
			assertThat(this.firstCancelled.await(MAX_CANCEL_MS, TimeUnit.MILLISECONDS)).isTrue();
			assertThat(receivedCount()).isEqualTo(2);
		}
	}

	@Test
	void bodyIsSentToBothServers() throws Exception {
		startHedgingGateway();
		assertThat(this.gateway.exchange(TestGateway.postRequest("/read/x", "h1", "the body"))).contains(" 200 ")
			.endsWith("second");
		List<String> bodies = List.of(bodyAt(this.serverA), bodyAt(this.serverB));
		assertThat(bodies).containsOnly("the body");
	}

	private static String bodyAt(TestServer server) {
		return server.requests().getLast().body();
	}

	@Test
	void requestThatMustNotRunTwiceIsNotHedged() throws Exception {
		this.firstHandler = (request, socket) -> {
			pause(8 * WORK_MS);
			TestServer.write(socket, TestServer.ok(request, "first"));
		};
		startHedgingGateway();
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/x", "h1", "b"))).contains(" 200 ")
			.endsWith("first");
		assertThat(receivedCount()).isEqualTo(1);
	}

	@Test
	void nothingIsHedgedWithoutAShare() throws Exception {
		this.firstHandler = (request, socket) -> {
			pause(8 * WORK_MS);
			TestServer.write(socket, TestServer.ok(request, "first"));
		};
		startGateway(new TestGateway(List.of()));
		assertThat(this.gateway.exchange(TestGateway.getRequest("/read/x", "h1"))).contains(" 200 ").endsWith("first");
		assertThat(receivedCount()).isEqualTo(1);
	}

}
