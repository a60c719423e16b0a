package org.lovagevale.gateway;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against servers that send without end, never answer, or answer a second time.
 */
@Timeout(30)
class TroubledServerTests {

	/**
	 * More than the socket buffers on both sides hold, and less than an entry process may
	 * keep in memory.
	 */
	private static final long MAX_BYTES_UNTIL_CLOSED = 16_000_000;

	/** More than the pool of buffers grows by for the connections in use. */
	private static final long MAX_KEPT_BYTES = 16_000_000;

	private final AtomicLong sentBytes = new AtomicLong();

	private final CountDownLatch closedByGateway = new CountDownLatch(1);

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

	private void sendWithoutEnd(Socket socket, String head, String repeated) throws IOException {
		byte[] bytes = repeated.repeat(1 + 10_000 / repeated.length()).getBytes(StandardCharsets.ISO_8859_1);
		try {
			TestServer.write(socket, head);
			while (true) {
				socket.getOutputStream().write(bytes);
				this.sentBytes.addAndGet(bytes.length);
			}
		}
		catch (SocketException ex) {
			this.closedByGateway.countDown();
			throw ex;
		}
	}

	private static long usedDirectMemory() {
		return ((ByteBufAllocatorMetricProvider) ByteBufAllocator.DEFAULT).metric().usedDirectMemory();
	}

	private void assertClosedSoon() throws InterruptedException {
		assertThat(this.closedByGateway.await(3, TimeUnit.SECONDS)).as("closed by the gateway").isTrue();
		assertThat(this.sentBytes.get()).isLessThan(MAX_BYTES_UNTIL_CLOSED);
	}

	@Test
	void bodyWithoutSignatureAndWithoutEndIsNotKept() throws Exception {
		this.server.setHandler((request, socket) -> sendWithoutEnd(socket,
				"HTTP/1.1 200 OK\r\nTest-Id: " + request.headers().get("test-id") + "\r\n\r\n", "x"));
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 502");
		assertClosedSoon();
	}

	@Test
	void rejectionWithABodyWithoutEndIsTakenAsARejection() throws Exception {
		this.server.setHandler((request, socket) -> sendWithoutEnd(socket,
				"HTTP/1.1 503 Full\r\nTest-Id: " + request.headers().get("test-id") + "\r\nTest-Not-Run: 1\r\n\r\n",
				"x"));
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 503");
		assertClosedSoon();
	}

	@Test
	void headWithoutEndIsNotKept() throws Exception {
		this.server.setHandler((request, socket) -> sendWithoutEnd(socket, "HTTP/1.1 200 OK\r\nX: ", "x"));
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 502");
		assertClosedSoon();
	}

	@Test
	void interimResponsesWithoutEndAreAFailure() throws Exception {
		this.server.setHandler((request, socket) -> sendWithoutEnd(socket, "", "HTTP/1.1 102 Processing\r\n\r\n"));
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 502");
		assertClosedSoon();
	}

	// Guards against bytes after a change of protocols that are kept and never released.
	@Test
	void bytesWithoutEndAfterAnUnrequestedChangeOfProtocolsAreReleased() throws Exception {
		this.server.setHandler((request, socket) -> sendWithoutEnd(socket,
				"HTTP/1.1 101 Switching Protocols\r\nTest-Id: " + request.headers().get("test-id") + "\r\n\r\n", "x"));
		long before = usedDirectMemory();
		for (int i = 0; i < 3; i++) {
			assertThat(this.gateway.exchange(TestGateway.postRequest("/write/" + i, "id-" + i, "x")))
				.startsWith("HTTP/1.1 502");
		}
		assertClosedSoon();
		assertThat(usedDirectMemory() - before).isLessThan(MAX_KEPT_BYTES);
	}

	@Test
	void changeOfProtocolsInTheResponseToAHealthCheckIsAFailedCheck() throws Exception {
		this.server.setHealthHandler(
				(request, socket) -> sendWithoutEnd(socket, "HTTP/1.1 101 Switching Protocols\r\n\r\n", "x"));
		long before = usedDirectMemory();
		sleep(2_000);
		assertThat(this.closedByGateway.await(3, TimeUnit.SECONDS)).as("closed by the gateway").isTrue();
		assertThat(usedDirectMemory() - before).isLessThan(MAX_KEPT_BYTES);
	}

	@Test
	void trailerWithoutEndIsNotKept() throws Exception {
		this.server.setHandler(
				(request,
						socket) -> sendWithoutEnd(socket, "HTTP/1.1 200 OK\r\nTest-Id: "
								+ request.headers().get("test-id") + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
								"x"));
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 502");
		assertClosedSoon();
	}

	@Test
	void responseToAnotherRequestWithoutEndIsAFailure() throws Exception {
		this.server.setHandler((request, socket) -> sendWithoutEnd(socket,
				"HTTP/1.1 200 OK\r\nTest-Id: other\r\nTest-Signature: s\r\n\r\n", "x"));
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 502");
		assertClosedSoon();
	}

	@Test
	void bodyWithoutEndIsStoppedWhenTheCallerOfANonIdempotentRequestLeaves() throws Exception {
		this.server.setHandler((request, socket) -> sendWithoutEnd(socket,
				"HTTP/1.1 200 OK\r\nTest-Id: " + request.headers().get("test-id") + "\r\nTest-Signature: s\r\n\r\n",
				"x"));
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, TestGateway.postRequest("/write/1", "i", "x"));
			assertThat(socket.getInputStream().readNBytes(1_000)).hasSize(1_000);
		}
		assertThat(this.closedByGateway.await(3, TimeUnit.SECONDS)).as("closed by the gateway").isTrue();
	}

	// Guards against a response that never ends for its caller.
	@ParameterizedTest
	@ValueSource(strings = { "GET /read/1", "POST /write/1" })
	void responseThatStallsIsEndedAtTheTimeout(String target) throws Exception {
		CountDownLatch closed = new CountDownLatch(1);
		this.server.setHandler((request, socket) -> {
			TestServer.write(socket,
					"HTTP/1.1 200 OK\r\nTest-Id: i\r\nTest-Signature: s\r\nContent-Length: 10\r\n\r\nhalf");
			if (socket.getInputStream().read() < 0) {
				closed.countDown();
			}
		});
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, TestGateway.postRequest("/write/1", "i", "x").replace("POST /write/1", target));
			long startedAt = System.nanoTime();
			assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1))
				.endsWith("\r\n\r\nhalf");
			assertThat((System.nanoTime() - startedAt) / 1_000_000).isBetween(900L, 1_500L);
		}
		assertThat(closed.await(1, TimeUnit.SECONDS)).as("closed by the gateway").isTrue();
	}

	@Test
	void responseThatArrivesSlowlyIsNotEndedAtTheTimeout() throws Exception {
		this.server.setHandler((request, socket) -> {
			TestServer.write(socket,
					"HTTP/1.1 200 OK\r\nTest-Id: i\r\nTest-Signature: s\r\nContent-Length: 15\r\n\r\n");
			for (int i = 0; i < 15; i++) {
				TestServer.write(socket, "x");
				sleep(100);
			}
		});
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 200")
			.endsWith("x".repeat(15));
	}

	@Test
	void responseToASlowCallerIsNotEndedAtTheTimeout() throws Exception {
		String body = "x".repeat(20_000_000);
		this.server.setHandler((request, socket) -> TestServer.write(socket, TestServer.ok(request, body)));
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, TestGateway.postRequest("/write/1", "i", "x"));
			long received = 0;
			byte[] part = new byte[500_000];
			for (int read = 0; read >= 0 && received < body.length(); received += read) {
				sleep(40);
				read = socket.getInputStream().readNBytes(part, 0, part.length);
				if (read == 0) {
					break;
				}
			}
			assertThat(received).isGreaterThanOrEqualTo(body.length());
		}
	}

	@Test
	void connectionOfASilentServerIsClosedAfterTheTimeoutOfANonIdempotentRequest() throws Exception {
		CountDownLatch closed = new CountDownLatch(1);
		this.server.setHandler((request, socket) -> {
			if (socket.getInputStream().read() < 0) {
				closed.countDown();
			}
		});
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 504");
		assertThat(closed.await(3, TimeUnit.SECONDS)).as("closed by the gateway").isTrue();
	}

	@Test
	void serverThatNeverAnswersGetsFewRequests() throws Exception {
		AtomicInteger silentRequests = new AtomicInteger();
		this.server.setHandler((request, socket) -> {
			silentRequests.incrementAndGet();
			sleep(5_000);
		});
		try (TestServer sound = new TestServer(
				(request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")))) {
			this.gateway.publishServer("b", sound.port()).publishConfiguration(800);
			sleep(1_000);
			for (int i = 0; i < 30; i++) {
				this.gateway.exchange(TestGateway.getRequest("/read/1", "id-" + i));
			}
		}
		assertThat(silentRequests.get()).isLessThanOrEqualTo(5);
	}

	@Test
	void brokenOffResponseDoesNotLookCompleteToAnHttp10Caller() throws Exception {
		this.server.setHandler((request, socket) -> {
			TestServer.write(socket, "HTTP/1.1 200 OK\r\nTest-Id: i\r\nTest-Signature: s\r\n"
					+ "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
			sleep(200);
			socket.close();
		});
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, TestGateway.postRequest("/write/1", "i", "x").replace("HTTP/1.1", "HTTP/1.0"));
			assertThatThrownBy(() -> socket.getInputStream().readAllBytes()).isInstanceOf(SocketException.class);
		}
	}

	@Test
	void lateSecondCopyIsNotTakenAsTheResponseToAHealthCheck() throws Exception {
		AtomicInteger requests = new AtomicInteger();
		this.server.setHandler((request, socket) -> {
			TestServer.write(socket, TestServer.ok(request, "answer-" + requests.incrementAndGet()));
			String copy = TestServer.ok(request, "copy")
				.replace("Test-Signature", "Test-Server: other\r\nTest-Signature");
			Thread.ofVirtual().start(() -> {
				sleep(20);
				try {
					TestServer.write(socket, copy);
				}
				catch (IOException ex) {
					// The gateway closed the connection.
				}
			});
		});
		try (Socket socket = this.gateway.connect()) {
			for (int i = 0; i < 40; i++) {
				TestServer.write(socket, TestGateway.postRequest("/write/1", "id-" + i, "x"));
				assertThat(TestGateway.readResponse(socket)).startsWith("HTTP/1.1 200")
					.contains("Test-Id: id-" + i)
					.contains("answer-");
				sleep(i % 25);
			}
		}
	}

	// Guards against "not run" for a request that a server has run.
	@Test
	void secondCopyOfARefusalIsNotTakenAsTheResponseToALaterRequest() throws Exception {
		assertThat(statusAfterSecondCopyOf(refusal("id-0"))).startsWith("HTTP/1.1 502");
	}

	@Test
	void secondCopyOfARefusalWithoutAnIdentityIsNotTakenAsAResponse() throws Exception {
		assertThat(statusAfterSecondCopyOf(refusal("id-0").replace("Test-Id: id-0\r\n", "")))
			.startsWith("HTTP/1.1 502");
	}

	// The server refuses the first request, writes the copy when it has read the second
	// one, runs that and closes the connection.
	private String statusAfterSecondCopyOf(String copy) throws Exception {
		AtomicInteger requests = new AtomicInteger();
		this.server.setHandler((request, socket) -> {
			if (requests.getAndIncrement() == 0) {
				TestServer.write(socket, refusal("id-0"));
				return;
			}
			TestServer.write(socket, copy);
			sleep(100);
			socket.close();
		});
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/0", "id-0", "x"))).startsWith("HTTP/1.1 503");
		sleep(300);
		String response = this.gateway.exchange(TestGateway.postRequest("/write/1", "id-1", "x"));
		assertThat(requests).hasValue(2);
		return response;
	}

	// Guards against a request that runs at a second server.
	@Test
	void twoCopiesOfARefusalAtOnceSendTheRequestToOneOtherServer() throws Exception {
		AtomicInteger runs = new AtomicInteger();
		this.server.setHandler((request, socket) -> {
			String refusal = refusal(request.headers().get("test-id"));
			TestServer.write(socket, refusal + refusal);
		});
		try (TestServer sound = new TestServer((request, socket) -> {
			runs.incrementAndGet();
			TestServer.write(socket, TestServer.ok(request, "hello"));
		})) {
			this.gateway.publishServer("b", sound.port()).publishConfiguration(800);
			sleep(1_000);
			int served = 0;
			for (int i = 0; i < 20; i++) {
				String response = this.gateway.exchange(TestGateway.postRequest("/write/" + i, "id-" + i, "x"));
				assertThat(response).containsPattern("^HTTP/1.1 (200|503)");
				served += response.startsWith("HTTP/1.1 200") ? 1 : 0;
			}
			assertThat(runs).hasValue(served);
			assertThat(served).isPositive();
		}
	}

	private static String refusal(String id) {
		return "HTTP/1.1 503 Full\r\nTest-Id: " + id + "\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
	}

	@Test
	void caseOfTheHeaderNameOfALengthDoesNotMatter() throws Exception {
		this.server.setHandler((request, socket) -> TestServer.write(socket,
				TestServer.ok(request, "hello").toLowerCase(Locale.ROOT).replace("http", "HTTP")));
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 200")
			.endsWith("hello");
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
