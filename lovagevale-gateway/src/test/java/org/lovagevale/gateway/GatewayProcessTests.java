package org.lovagevale.gateway;

import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.lovagevale.core.roster.Roster;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs an entry process on loopback between sockets that act as callers and backend
 * servers whose responses the tests write.
 */
@Timeout(30)
class GatewayProcessTests {

	private TestServer server;

	private TestServer otherServer;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		this.otherServer = new TestServer(
				(request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		this.gateway = new TestGateway(List.of()).publishConfiguration(2_000)
			.publishServer("a", this.server.port())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
		this.otherServer.close();
	}

	private void addOtherServer() throws Exception {
		this.gateway.publishServer("b", this.otherServer.port());
		// The process has no budget for retries until its roster has settled.
		Thread.sleep(Roster.SETTLED_MS + 500);
	}

	@Test
	void responseOfTheServerIsForwardedUnchanged() throws Exception {
		String response = this.gateway.exchange(TestGateway.getRequest("/read/1?x=2", "id-1"));
		assertThat(response).startsWith("HTTP/1.1 200 OK").contains("Test-Signature: s").endsWith("hello");
		TestServer.Request received = this.server.requests().getFirst();
		assertThat(received.requestLine()).isEqualTo("GET /read/1?x=2 HTTP/1.1");
		assertThat(received.headers()).containsEntry("test-id", "id-1").containsEntry("test-server", "a");
		assertThat(Long.parseLong(received.headers().get("test-time"))).isBetween(1L, 2_000L);
	}

	@Test
	void requestBodyIsForwardedUnchanged() throws Exception {
		this.gateway.exchange(TestGateway.postRequest("/write/1", "id-1", "0123456789"));
		assertThat(this.server.requests().getFirst().body()).isEqualTo("0123456789");
	}

	@Test
	void chunkedRequestBodyIsForwardedCompletely() throws Exception {
		this.gateway.exchange("POST /write/1 HTTP/1.1\r\nHost: a.example\r\nTest-Id: i\r\nTest-Time: 3000\r\n"
				+ "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
		assertThat(this.server.requests().getFirst().body()).isEqualTo("abcde");
	}

	@Test
	void requestWithoutHostIsRejected() throws Exception {
		String response = this.gateway.exchange("GET /read/1 HTTP/1.1\r\nTest-Id: i\r\nTest-Time: 3000\r\n\r\n");
		assertThat(response).startsWith("HTTP/1.1 400");
		assertThat(this.server.requests()).isEmpty();
	}

	@Test
	void requestWithContentLengthAndChunkedEncodingIsRejected() throws Exception {
		String response = this.gateway.exchange("POST /write/1 HTTP/1.1\r\nHost: a.example\r\nTest-Id: i\r\n"
				+ "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/2 HTTP/1.1\r\n\r\n");
		assertThat(response).startsWith("HTTP/1.1 400");
		assertThat(this.server.requests()).isEmpty();
	}

	@Test
	void incompleteHeadIsRejectedAfterTheHeaderTimeout() throws Exception {
		long startedAt = System.nanoTime();
		String response = this.gateway.exchange("GET /read/1 HTTP/1.1\r\nHost: a.exa");
		assertThat(response).startsWith("HTTP/1.1 408");
		assertThat((System.nanoTime() - startedAt) / 1_000_000).isLessThan(1_500);
	}

	@Test
	void tooLargeHeadIsRejected() throws Exception {
		String response = this.gateway
			.exchange("GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX: " + "x".repeat(9_000) + "\r\n\r\n");
		assertThat(response).startsWith("HTTP/1.1 431");
	}

	@Test
	void tooLargeBodyIsRejected() throws Exception {
		String response = this.gateway.exchange("POST /write/1 HTTP/1.1\r\nHost: a.example\r\nTest-Id: i\r\n"
				+ "Test-Time: 3000\r\nContent-Length: 100001\r\n\r\n");
		assertThat(response).startsWith("HTTP/1.1 413");
		assertThat(this.server.requests()).isEmpty();
	}

	@Test
	void unknownRouteIsNotFoundAndItsBodyIsNotParsedAsARequest() throws Exception {
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket,
					TestGateway.postRequest("/none/", "i-1", TestGateway.getRequest("/read/9", "i-2")));
			assertThat(TestGateway.readResponse(socket)).startsWith("HTTP/1.1 404");
			TestServer.write(socket, TestGateway.getRequest("/read/1", "i-3"));
			assertThat(TestGateway.readResponse(socket)).startsWith("HTTP/1.1 200");
		}
		assertThat(this.server.requests()).hasSize(1);
	}

	@Test
	void pipelinedRequestsAreAnsweredInOrder() throws Exception {
		this.server.setHandler((request, socket) -> {
			sleep(request.requestLine().contains("slow") ? 200 : 0);
			TestServer.write(socket, TestServer.ok(request, request.headers().get("test-id")));
		});
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket,
					TestGateway.getRequest("/read/slow", "first") + TestGateway.getRequest("/read/1", "second"));
			assertThat(TestGateway.readResponse(socket)).endsWith("first");
			assertThat(TestGateway.readResponse(socket)).endsWith("second");
		}
	}

	// Guards against servers that get more time than the caller has left.
	@Test
	void timeBeforeARequestIsReadCountsForItsDeadline() throws Exception {
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, TestGateway.getRequest("/read/1", "first"));
			TestGateway.readResponse(socket);
			this.gateway.process().loop().execute(() -> sleep(1_000));
			sleep(100);
			long writtenAt = System.nanoTime();
			TestServer.write(socket,
					"GET /read/1 HTTP/1.1\r\nHost: a.example\r\nTest-Id: second\r\nTest-Time: 1500\r\n\r\n");
			assertThat(TestGateway.readResponse(socket)).startsWith("HTTP/1.1 200");
			long callerLeftMs = 1_500 - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - writtenAt);
			long givenMs = Long.parseLong(this.server.requests().getLast().headers().get("test-time"));
			assertThat(givenMs).isLessThanOrEqualTo(callerLeftMs + 500);
		}
	}

	// A request that is not idempotent waits until the one before it is answered.
	@Test
	void pipelinedRequestIsPassedOnWithTheTimeItHasLeft() throws Exception {
		this.server.setHandler((request, socket) -> {
			if (request.requestLine().contains("/read/1")) {
				sleep(1_200);
			}
			TestServer.write(socket, TestServer.ok(request, "hello"));
		});
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket,
					TestGateway.getRequest("/read/1", "one") + TestGateway.postRequest("/write/2", "two", "x"));
			assertThat(TestGateway.readResponse(socket)).startsWith("HTTP/1.1 200");
			assertThat(TestGateway.readResponse(socket)).startsWith("HTTP/1.1 200");
		}
		String timeMs = this.server.requests().getLast().headers().get("test-time");
		assertThat(Long.parseLong(timeMs)).isLessThanOrEqualTo(1_850);
	}

	@Test
	void idempotentRequestIsSentToAnotherServerWhenItsResponseIsTruncated() throws Exception {
		addOtherServer();
		AtomicInteger responses = new AtomicInteger();
		TestServer.RequestHandler truncateFirstResponse = (request, socket) -> {
			if (responses.getAndIncrement() == 0) {
				TestServer.write(socket, TestServer.ok(request, "hello").replace("Length: 5", "Length: 50"));
				socket.close();
				return;
			}
			TestServer.write(socket, TestServer.ok(request, "hello"));
		};
		this.server.setHandler(truncateFirstResponse);
		this.otherServer.setHandler(truncateFirstResponse);
		assertThat(this.gateway.exchange(TestGateway.getRequest("/read/1", "i"))).startsWith("HTTP/1.1 200")
			.endsWith("hello");
		assertThat(this.server.requests().size() + this.otherServer.requests().size()).isEqualTo(2);
	}

	@Test
	void nonIdempotentRequestIsSentOnceWhenItsResponseIsLost() throws Exception {
		addOtherServer();
		this.server.setHandler((request, socket) -> socket.close());
		this.otherServer.setHandler((request, socket) -> socket.close());
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 502");
		assertThat(this.server.requests().size() + this.otherServer.requests().size()).isEqualTo(1);
	}

	@Test
	void requestThatAServerDidNotRunIsSentToAnother() throws Exception {
		addOtherServer();
		TestServer.RequestHandler reject = (request, socket) -> TestServer.write(socket,
				"HTTP/1.1 503 Full\r\nTest-Id: " + request.headers().get("test-id")
						+ "\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
		this.server.setHandler(reject);
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 200");
		this.otherServer.setHandler(reject);
		String response = this.gateway.exchange(TestGateway.postRequest("/write/1", "j", "x"));
		assertThat(response).startsWith("HTTP/1.1 503").contains("Retry-After");
	}

	// Requests may use more than one connection, since health checks need one as well.
	@Test
	void responseOfAnEarlierRequestIsSkipped() throws Exception {
		Map<Socket, String> lastIds = new ConcurrentHashMap<>();
		AtomicInteger staleResponses = new AtomicInteger();
		this.server.setHandler((request, socket) -> {
			String staleId = lastIds.put(socket, request.headers().get("test-id"));
			staleResponses.addAndGet((staleId != null) ? 1 : 0);
			TestServer.write(socket,
					((staleId != null) ? TestServer.ok(staleId, "wrong") : "") + TestServer.ok(request, "right"));
		});
		for (int i = 0; i < 5; i++) {
			assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i-" + i, "x"))).endsWith("right");
		}
		assertThat(staleResponses.get()).isPositive();
	}

	@Test
	void excessBytesAfterAResponseAreNotUsedAsTheNextResponse() throws Exception {
		this.server.setHandler((request, socket) -> TestServer.write(socket,
				TestServer.ok(request, "hello") + TestServer.ok(request, "again")));
		try (Socket socket = this.gateway.connect()) {
			for (int i = 0; i < 3; i++) {
				TestServer.write(socket, TestGateway.getRequest("/read/1", "id-" + i));
				assertThat(TestGateway.readResponse(socket)).contains("Test-Id: id-" + i).endsWith("hello");
			}
		}
	}

	@Test
	void successResponseWithoutSignatureIsRejected() throws Exception {
		this.server.setHandler((request, socket) -> TestServer.write(socket,
				TestServer.ok(request, "hello").replace("Test-Signature: s\r\n", "")));
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 502");
	}

	@Test
	void errorResponseOfTheServerIsForwardedUnchanged() throws Exception {
		this.server.setHandler((request, socket) -> TestServer.write(socket,
				TestServer.ok(request, "sorry").replace("200 OK", "500 Error")));
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 500")
			.endsWith("sorry");
	}

	@Test
	void responseWithoutLengthIsNotCompletedWhenTheConnectionIsReset() throws Exception {
		this.server.setHandler((request, socket) -> {
			TestServer.write(socket, "HTTP/1.1 200 OK\r\nTest-Id: i\r\nTest-Signature: s\r\n\r\npart");
			sleep(100);
			socket.setSoLinger(true, 0);
			socket.close();
		});
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, TestGateway.postRequest("/write/1", "i", "x"));
			String received = new String(socket.getInputStream().readAllBytes(), "ISO-8859-1");
			assertThat(received).doesNotContain("\r\n0\r\n");
		}
	}

	@Test
	void serverConnectionIsClosedWhenTheCallerDisconnects() throws Exception {
		AtomicInteger closed = new AtomicInteger();
		this.server.setHandler((request, socket) -> {
			if (socket.getInputStream().read() < 0) {
				closed.incrementAndGet();
			}
		});
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, TestGateway.getRequest("/read/1", "i"));
			sleep(200);
		}
		sleep(300);
		assertThat(closed).hasValue(1);
	}

	@Test
	void timeoutOfTheRouteIsEnforced() throws Exception {
		this.gateway.publishConfiguration(300);
		Thread.sleep(1_000);
		this.server.setHandler((request, socket) -> sleep(5_000));
		long startedAt = System.nanoTime();
		assertThat(this.gateway.exchange(TestGateway.getRequest("/read/1", "i"))).startsWith("HTTP/1.1 504");
		assertThat((System.nanoTime() - startedAt) / 1_000_000).isBetween(290L, 800L);
	}

	@Test
	void plannedStopCompletesRunningRequests() throws Exception {
		this.server.setHandler((request, socket) -> {
			sleep(600);
			TestServer.write(socket, TestServer.ok(request, "done"));
		});
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, TestGateway.postRequest("/write/1", "i", "x"));
			sleep(100);
			Thread stopping = Thread.ofVirtual().start(this.gateway.process()::stop);
			assertThat(TestGateway.readResponse(socket)).contains("onnection: close").endsWith("done");
			stopping.join();
		}
		assertThat(this.gateway.process().isReady()).isFalse();
	}

	private static void sleep(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
