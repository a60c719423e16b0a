package org.lovagevale.gateway;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are given up, or accounted for without an end, since they
 * arrived behind another one.
 */
@Timeout(30)
class PipelinedRequestMemoryTests {

	private static final long LIMIT_BYTES = 120_000;

	private static final int BODY_BYTES = 60_000;

	private static final int SENT_BYTES = 40_000;

	private static final int UNFINISHED_HEADS = 40;

	private final CountDownLatch firstResponse = new CountDownLatch(1);

	private TestServer server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer((request, socket) -> {
			if (request.requestLine().startsWith("GET ")) {
				awaitFirstResponse();
			}
			TestServer.write(socket, TestServer.ok(request, "done"));
		});
		this.gateway = new TestGateway(List.of(), LIMIT_BYTES).publishConfiguration(6_000)
			.publishServer("a", this.server.port())
			.publishServer("b", this.server.port())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
	}

	@Test
	void nothingIsAccountedForOnceAllPipelinedRequestsAreAnswered() throws Exception {
		this.firstResponse.countDown();
		try (Socket caller = this.gateway.connect()) {
			TestServer.write(caller,
					TestGateway.getRequest("/read/x", "first") + TestGateway.getRequest("/read/x", "second"));
			assertThat(TestGateway.readResponse(caller)).startsWith("HTTP/1.1 200 ");
			assertThat(TestGateway.readResponse(caller)).startsWith("HTTP/1.1 200 ");
			Thread.sleep(100);
			assertThat(this.gateway.heldBytes()).isZero();
		}
	}

	@Test
	void acceptedRequestBehindAnotherOneIsReadToItsEndWhileTheProcessIsFull() throws Exception {
		String body = "b".repeat(BODY_BYTES);
		String request = TestGateway.postRequest("/write/x", "second", body).replace("3000", "6000");
		int sent = request.length() - BODY_BYTES + SENT_BYTES;
		List<Socket> others = new ArrayList<>();
		try (Socket caller = this.gateway.connect()) {
			TestServer.write(caller, TestGateway.getRequest("/read/x", "first") + request.substring(0, sent));
			Thread.sleep(200);
			this.firstResponse.countDown();
			assertThat(TestGateway.readResponse(caller)).startsWith("HTTP/1.1 200 ");
			Thread.sleep(100);
			for (int i = 0; i < UNFINISHED_HEADS; i++) {
				Socket other = this.gateway.connect();
				others.add(other);
				TestServer.write(other, "GET /read/x HTTP/1.1\r\nA: " + "a".repeat(6_000));
			}
			Thread.sleep(200);
			TestServer.write(caller, request.substring(sent));
			assertThat(TestGateway.readResponse(caller)).startsWith("HTTP/1.1 200 ").endsWith("done");
		}
		finally {
			for (Socket other : others) {
				other.close();
			}
		}
	}

	// Guards against requests in progress that are cut off because the process is full of
	// what arrived behind them.
	@Test
	void startedRequestsAreAnsweredWhenThoseBehindThemAreGivenUp() throws Exception {
		String behind = TestGateway.postRequest("/write/x", "behind", "b".repeat(BODY_BYTES));
		List<Socket> others = new ArrayList<>();
		try (Socket caller = this.gateway.connect()) {
			TestServer.write(caller, TestGateway.getRequest("/read/x", "first").replace("3000", "6000")
					+ TestGateway.getRequest("/read/x", "second").replace("3000", "6000") + behind);
			Thread.sleep(200);
			for (int i = 0; i < UNFINISHED_HEADS && !hasEvicted(); i++) {
				Socket other = this.gateway.connect();
				others.add(other);
				TestServer.write(other, "GET /read/x HTTP/1.1\r\nA: " + "a".repeat(6_000));
				Thread.sleep(10);
			}
			assertThat(hasEvicted()).isTrue();
			this.firstResponse.countDown();
			assertThat(TestGateway.readResponse(caller)).startsWith("HTTP/1.1 200 ").contains("first");
			assertThat(TestGateway.readResponse(caller)).startsWith("HTTP/1.1 200 ")
				.contains("second")
				.containsIgnoringCase("connection: close");
			assertThat(caller.getInputStream().read()).isEqualTo(-1);
			assertThat(this.server.requests()).hasSize(2);
		}
		finally {
			for (Socket other : others) {
				other.close();
			}
		}
	}

	private boolean hasEvicted() {
		return this.gateway.process()
			.metrics()
			.scrape()
			.contains("lovagevale_gateway_memory_evictions_total{account=\"requests\"}");
	}

	private void awaitFirstResponse() {
		try {
			this.firstResponse.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
