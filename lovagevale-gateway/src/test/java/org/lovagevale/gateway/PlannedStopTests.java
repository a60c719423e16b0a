package org.lovagevale.gateway;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a planned stop that cuts off requests which callers have just sent on
 * connections that were accepted.
 */
@Timeout(60)
class PlannedStopTests {

	private static final int CALLERS = 24;

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger cutOff = new AtomicInteger();

	private volatile boolean stopped;

	@Test
	void noRequestOnANewConnectionIsCutOff() throws Exception {
		try (TestServer server = new TestServer(
				(request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
				TestGateway gateway = new TestGateway(List.of()).publishConfiguration(2_000)
					.publishServer("a", server.port())
					.start()) {
			List<Thread> callers = new ArrayList<>();
			for (int i = 0; i < CALLERS; i++) {
				String name = "caller-" + i;
				callers.add(Thread.ofVirtual().start(() -> sendRequests(gateway, name)));
			}
			Thread.sleep(500);
			gateway.process().stop();
			this.stopped = true;
			for (Thread caller : callers) {
				caller.join();
			}
		}
		assertThat(this.answered.get()).isPositive();
		assertThat(this.cutOff.get()).as("requests without an answer").isZero();
	}

	private void sendRequests(TestGateway gateway, String name) {
		for (int i = 0; !this.stopped; i++) {
			try (Socket socket = gateway.connect()) {
				exchange(socket, name + "-" + i);
			}
			catch (ConnectException ex) {
				// The process no longer accepts connections, so nothing was sent.
				return;
			}
			catch (IOException ex) {
				this.cutOff.incrementAndGet();
			}
		}
	}

	private void exchange(Socket socket, String id) throws IOException {
		TestServer.write(socket, TestGateway.postRequest("/write/1", id, "x"));
		if (TestGateway.readResponse(socket).startsWith("HTTP/1.1 ")) {
			this.answered.incrementAndGet();
		}
		else {
			this.cutOff.incrementAndGet();
		}
	}

}
