package org.lovagevale.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a response without end that is passed on by a relay between regions, and
 * whose server is not held responsible in its own region.
 */
@Timeout(30)
class RelayedLateResponseTests {

	/** Time for two heartbeats to a seed, after which each process knows the other. */
	private static final long CONTACT_EXCHANGE_MS = 2_500;

	private static final long TIMEOUT_MS = 1_000;

	/** Time after the timeout by which callers must have a final response. */
	private static final long FINAL_AFTER_MS = 500;

	private final CountDownLatch closedByGateway = new CountDownLatch(1);

	private TestRegions regions;

	@BeforeEach
	void start() throws Exception {
		this.regions = new TestRegions(TIMEOUT_MS, CONTACT_EXCHANGE_MS);
	}

	@AfterEach
	void stop() throws Exception {
		this.regions.close();
	}

	@ParameterizedTest
	@CsvSource({ "CHUNKED,GET /read/1", "LENGTH,GET /read/1", "SINGLE_BYTES,GET /read/1", "CHUNKED,POST /write/1" })
	void responseWithoutEndIsEndedAndItsServerHasFailed(EndlessBody form, String target) throws Exception {
		this.regions.server().setHandler((request, socket) -> form.send(request, socket, this.closedByGateway));
		long startedAt = System.nanoTime();
		try (Socket socket = this.regions.remote().connect()) {
			TestServer.write(socket, TestGateway.postRequest("/write/1", "i", "x").replace("POST /write/1", target));
			assertThat(TestGateway.readToEnd(socket, TIMEOUT_MS + FINAL_AFTER_MS)).startsWith("HTTP/1.1 200")
				.contains("x");
		}
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt)).isGreaterThan(TIMEOUT_MS);
		assertThat(this.closedByGateway.await(500, TimeUnit.MILLISECONDS)).as("closed at the server").isTrue();
		this.regions.server()
			.setHandler((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		// A server that reports no load gets one request at a time.
		assertThat(this.regions.remote().exchange(TestGateway.postRequest("/write/1", "sound", "x")))
			.startsWith("HTTP/1.1 200")
			.endsWith("hello");
		assertThat(this.regions.home().process().metrics().scrape().lines())
			.anyMatch((line) -> line.startsWith("lovagevale_gateway_sends_total") && line.contains("FAILED"));
	}

	// Guards against a sound response that is cut off since the entry VM that relays it
	// states the timeout in place of the deadline of the caller.
	@Test
	void soundResponseToASlowCallerIsDelivered() throws Exception {
		int bytes = 12_000_000;
		this.regions.server()
			.setHandler((request, socket) -> TestServer.write(socket, TestServer.ok(request, "x".repeat(bytes))));
		try (Socket socket = this.regions.remote().connect()) {
			TestServer.write(socket, TestGateway.getRequest("/read/1", "i"));
			assertThat(readSlowly(socket, bytes, TIMEOUT_MS + 1_000)).isGreaterThanOrEqualTo(bytes);
		}
	}

	private static long readSlowly(Socket socket, int bytes, long durationMs) throws IOException, InterruptedException {
		int parts = 40;
		byte[] part = new byte[bytes / parts];
		long received = 0;
		for (int read = 1; read > 0 && received < bytes; received += read) {
			Thread.sleep(durationMs / parts);
			read = socket.getInputStream().readNBytes(part, 0, part.length);
		}
		return received;
	}

}
