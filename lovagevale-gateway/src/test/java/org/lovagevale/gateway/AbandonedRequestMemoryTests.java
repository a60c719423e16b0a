package org.lovagevale.gateway;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests of callers that are gone which hold more than they are
 * accounted for while their servers run them, or stay accounted for afterwards.
 */
@Timeout(60)
class AbandonedRequestMemoryTests {

	private static final int TARGET_CHARS = 4_000;

	private static final int LINES = 600;

	/** A header takes at least that. */
	private static final int MIN_HEADER_BYTES = 140;

	@Test
	void onlyWhatIsKeptOfAnAbandonedRequestStaysAccountedFor() throws Exception {
		CountDownLatch received = new CountDownLatch(1);
		CountDownLatch finished = new CountDownLatch(1);
		try (TestServer server = new TestServer((request, socket) -> {
			received.countDown();
			await(finished);
			TestServer.write(socket, TestServer.ok(request, "done"));
		});
				TestGateway gateway = new TestGateway(List.of()).publishConfiguration(30_000)
					.publishServer("a", server.port())
					.start()) {
			try (Socket socket = gateway.connect()) {
				TestServer.write(socket, "GET /write/" + "x".repeat(TARGET_CHARS)
						+ " HTTP/1.1\r\nHost: a.example\r\nTest-Id: kept\r\n" + "a:b\r\n".repeat(LINES) + "\r\n");
				assertThat(received.await(20, TimeUnit.SECONDS)).isTrue();
				assertThat(gateway.heldBytes()).isGreaterThan(TARGET_CHARS + LINES * MIN_HEADER_BYTES);
			}
			// The target is kept, the headers are not.
			assertThat(awaitHeldBytes(gateway, (bytes) -> bytes < LINES * MIN_HEADER_BYTES))
				.isGreaterThanOrEqualTo(TARGET_CHARS);
			finished.countDown();
			assertThat(awaitHeldBytes(gateway, (bytes) -> bytes == 0)).isZero();
		}
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await(30, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static long awaitHeldBytes(TestGateway gateway, LongPredicate expected) throws InterruptedException {
		for (int i = 0; i < 500 && !expected.test(gateway.heldBytes()); i++) {
			Thread.sleep(20);
		}
		return gateway.heldBytes();
	}

}
