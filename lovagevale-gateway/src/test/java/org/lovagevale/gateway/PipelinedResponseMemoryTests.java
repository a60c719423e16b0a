package org.lovagevale.gateway;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against responses that are held without a limit while they wait for earlier ones
 * on their connection.
 */
@Timeout(60)
class PipelinedResponseMemoryTests {

	private static final long REQUEST_LIMIT_BYTES = 50_000_000;

	private static final int LARGE_BYTES = 2_000_000;

	/** The limit of a connection is 131,072 bytes. */
	private static final long MAX_WAITING_BYTES = 131_072;

	/** Each of three requests may pass on one buffer and one read beyond the limit. */
	private static final long MAX_EXCESS_BYTES = 3 * 2 * 65_536;

	private final CountDownLatch firstResponse = new CountDownLatch(1);

	private TestServer server;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer((request, socket) -> {
			boolean first = request.headers().get("test-id").equals("first");
			if (first) {
				awaitFirstResponse();
			}
			TestServer.write(socket, TestServer.ok(request, first ? "done" : "x".repeat(LARGE_BYTES)));
		});
	}

	@AfterEach
	void stop() throws Exception {
		this.firstResponse.countDown();
		this.server.close();
	}

	private TestGateway startGateway(long responseLimitBytes) throws Exception {
		TestGateway gateway = new TestGateway(List.of(), new MemoryLimits(REQUEST_LIMIT_BYTES, responseLimitBytes))
			.publishConfiguration(20_000);
		return gateway.publishServer("a", this.server.port())
			.publishServer("b", this.server.port())
			.publishServer("c", this.server.port())
			.start();
	}

	private void awaitFirstResponse() {
		try {
			this.firstResponse.await(20, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String read(String id) {
		return TestGateway.getRequest("/read/x", id).replace("3000", "20000");
	}

	// Returns the most that is held until that has not grown for some time.
	private static long awaitHeld(TestGateway gateway) throws InterruptedException {
		long max = 0;
		for (int unchanged = 0; unchanged < 50 || max == 0; unchanged++) {
			long held = gateway.heldResponseBytes();
			if (held > max) {
				max = held;
				unchanged = 0;
			}
			Thread.sleep(20);
		}
		return max;
	}

	private static void awaitMetric(TestGateway gateway, String sample) throws InterruptedException {
		for (int i = 0; i < 500 && !gateway.process().metrics().scrape().contains(sample); i++) {
			Thread.sleep(10);
		}
		assertThat(gateway.process().metrics().scrape()).contains(sample);
	}

	@Test
	void laterResponsesAreReadToTheLimitAndThenSentCompletely() throws Exception {
		try (TestGateway gateway = startGateway(10_000_000); Socket caller = gateway.connect()) {
			TestServer.write(caller, read("first") + read("second") + read("third") + read("fourth"));
			assertThat(awaitHeld(gateway)).isBetween(MAX_WAITING_BYTES, MAX_WAITING_BYTES + MAX_EXCESS_BYTES);
			assertThat(this.server.requests()).hasSize(4);
			this.firstResponse.countDown();
			assertThat(TestGateway.readResponse(caller)).endsWith("done");
			for (int i = 0; i < 3; i++) {
				assertThat(TestGateway.readResponse(caller)).startsWith("HTTP/1.1 200 ")
					.hasSizeGreaterThan(LARGE_BYTES);
			}
			Thread.sleep(300);
			assertThat(gateway.heldResponseBytes()).isZero();
		}
	}

	@Test
	void largestWaitingResponseIsGivenUpWhenTheProcessIsFull() throws Exception {
		try (TestGateway gateway = startGateway(60_000); Socket caller = gateway.connect()) {
			TestServer.write(caller, read("first") + read("second"));
			awaitMetric(gateway, "lovagevale_gateway_memory_evictions_total{account=\"responses\"} 1.0");
			this.firstResponse.countDown();
			assertThat(TestGateway.readResponse(caller)).endsWith("done");
			assertThat(TestGateway.readResponse(caller)).startsWith("HTTP/1.1 502 ").contains("no memory");
			Thread.sleep(300);
			assertThat(gateway.heldResponseBytes()).isZero();
			assertThat(gateway.process().metrics().scrape())
				.contains("lovagevale_gateway_pipelined_responses_replaced_total 1.0");
		}
	}

}
