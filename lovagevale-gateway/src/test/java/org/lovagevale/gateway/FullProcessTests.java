package org.lovagevale.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against callers that together send more than the process can hold: their
 * requests have to be rejected as not run, and other callers served.
 */
@Timeout(60)
class FullProcessTests {

	private static final long MEMORY_LIMIT_BYTES = 4_000_000;

	private static final int UPLOADS = 250;

	private static final int LARGE_HEADS = 200;

	private static final long HEAD_LIMIT_BYTES = 600_000;

	private static final int SERVERS = 60;

	private static final int BODY_BYTES = 60_000;

	private static final int PIECES = 5;

	private static final int SMALL_REQUESTS = 40;

	private TestServer server;

	private TestGateway gateway;

	private long directBytesAtStart;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer((request, socket) -> TestServer.write(socket, TestServer.ok(request, "done")));
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
	}

	@Test
	void slowUploadsBeyondTheMemoryAreRejectedAsNotRun() throws Exception {
		startGateway(MEMORY_LIMIT_BYTES);
		String body = "b".repeat(BODY_BYTES / PIECES);
		List<Callable<String>> uploads = new ArrayList<>();
		for (int i = 0; i < UPLOADS; i++) {
			String id = "upload-" + i;
			uploads.add(() -> upload(id, "Content-Length: " + BODY_BYTES, body));
		}
		List<String> responses = runBesideSmallRequests(uploads);
		int rejected = assertServedOrRejectedAsNotRun(responses);
		assertThat(rejected).isGreaterThanOrEqualTo(UPLOADS - (int) (MEMORY_LIMIT_BYTES / BODY_BYTES));
	}

	@Test
	void slowUploadsOfUnknownLengthBeyondTheMemoryAreRejectedAsNotRun() throws Exception {
		startGateway(MEMORY_LIMIT_BYTES);
		String piece = Integer.toHexString(BODY_BYTES / PIECES) + "\r\n" + "b".repeat(BODY_BYTES / PIECES) + "\r\n";
		List<Callable<String>> uploads = new ArrayList<>();
		for (int i = 0; i < UPLOADS; i++) {
			String id = "upload-" + i;
			uploads.add(() -> upload(id, "Transfer-Encoding: chunked", piece));
		}
		int rejected = assertServedOrRejectedAsNotRun(runBesideSmallRequests(uploads));
		assertThat(rejected).isGreaterThanOrEqualTo(UPLOADS - (int) (MEMORY_LIMIT_BYTES / BODY_BYTES));
	}

	@Test
	void largeHeadsBeyondTheMemoryAreRejectedAsNotRun() throws Exception {
		startGateway(HEAD_LIMIT_BYTES);
		String padding = "h".repeat(7_500);
		CountDownLatch bodies = new CountDownLatch(1);
		try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			List<Future<String>> running = new ArrayList<>();
			for (int i = 0; i < LARGE_HEADS; i++) {
				String id = "head-" + i;
				running.add(callers.submit(() -> uploadAfterHead(id, padding, bodies)));
			}
			for (int i = 0; i < 100 && this.gateway.heldBytes() < HEAD_LIMIT_BYTES / 2; i++) {
				sleep(20);
			}
			sleep(500);
			assertThat(this.gateway.heldBytes()).isLessThanOrEqualTo(HEAD_LIMIT_BYTES);
			bodies.countDown();
			assertThat(assertServedOrRejectedAsNotRun(results(running))).isPositive();
		}
	}

	private void startGateway(long memoryLimitBytes) throws Exception {
		this.gateway = new TestGateway(List.of(), memoryLimitBytes).publishConfiguration(4_000);
		// With enough servers, requests are rejected for want of memory only.
		for (int i = 0; i < SERVERS; i++) {
			this.gateway.publishServer("s" + i, this.server.port());
		}
		this.gateway.start();
		this.directBytesAtStart = GatewayMetrics.directMemoryBytes();
	}

	private List<String> runBesideSmallRequests(List<Callable<String>> uploads) throws Exception {
		try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			List<Future<String>> running = new ArrayList<>();
			uploads.forEach((upload) -> running.add(callers.submit(upload)));
			for (int i = 0; i < SMALL_REQUESTS; i++) {
				String response = this.gateway.exchange(TestGateway.getRequest("/read/x", "small-" + i));
				assertThat(response).startsWith("HTTP/1.1 200").endsWith("done");
				// Half of the direct memory is for the bytes of callers.
				assertThat(GatewayMetrics.directMemoryBytes() - this.directBytesAtStart)
					.isLessThanOrEqualTo(2 * MEMORY_LIMIT_BYTES);
				assertThat(this.gateway.heldBytes()).isLessThanOrEqualTo(MEMORY_LIMIT_BYTES);
				sleep(30);
			}
			return results(running);
		}
	}

	private static List<String> results(List<Future<String>> running) throws Exception {
		List<String> responses = new ArrayList<>();
		for (Future<String> response : running) {
			responses.add(response.get());
		}
		return responses;
	}

	// Returns the number of requests that were rejected for want of memory.
	private int assertServedOrRejectedAsNotRun(List<String> responses) throws Exception {
		List<String> served = responses.stream().filter((text) -> text.startsWith("HTTP/1.1 200")).toList();
		List<String> rejected = responses.stream().filter((text) -> text.startsWith("HTTP/1.1 503")).toList();
		assertThat(served.size() + rejected.size()).as(String.valueOf(responses)).isEqualTo(responses.size());
		assertThat(served).isNotEmpty().allMatch((text) -> text.endsWith("done"));
		assertThat(rejected).allMatch((text) -> text.toLowerCase(Locale.ROOT).contains("retry-after"),
				"states when to retry");
		long sent = this.server.requests().stream().filter((request) -> !request.requestLine().contains("/x ")).count();
		assertThat(sent).isEqualTo(served.size());
		for (int i = 0; i < 50 && this.gateway.heldBytes() > 0; i++) {
			sleep(20);
		}
		assertThat(this.gateway.heldBytes()).isZero();
		return (int) rejected.stream().filter((text) -> text.contains("no memory")).count();
	}

	private String upload(String id, String framing, String piece) throws IOException {
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, "POST /write/" + id + " HTTP/1.1\r\nHost: a.example\r\nTest-Id: " + id
					+ "\r\nTest-Time: 3000\r\n" + framing + "\r\n\r\n");
			for (int i = 0; i < PIECES; i++) {
				TestServer.write(socket, piece);
				sleep(200);
			}
			if (framing.startsWith("Transfer")) {
				TestServer.write(socket, "0\r\n\r\n");
			}
			return TestGateway.readResponse(socket);
		}
	}

	private String uploadAfterHead(String id, String padding, CountDownLatch bodies) throws Exception {
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, "POST /write/" + id + " HTTP/1.1\r\nHost: a.example\r\nTest-Id: " + id
					+ "\r\nTest-Time: 3000\r\nPadding: " + padding + "\r\nContent-Length: 1\r\n\r\n");
			bodies.await();
			TestServer.write(socket, "b");
			return TestGateway.readResponse(socket);
		}
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
