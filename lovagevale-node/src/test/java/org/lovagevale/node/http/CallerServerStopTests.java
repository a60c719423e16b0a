package org.lovagevale.node.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a planned stop that ends requests without a response.
 */
@Timeout(60)
class CallerServerStopTests {

	private static final String OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

	private static final String GET_REQUEST = "GET /transfers/1 HTTP/1.1\r\nHost: a\r\n\r\n";

	private static final int WAITING_CALLERS = 40;

	// Guards against a port that is closed, which resets the connections in its accept
	// queue.
	@Test
	void connectionsInTheAcceptQueueAreServedBeforeThePortIsClosed() throws Exception {
		try (RawServer server = new RawServer(CallerServerStopTests::respond);
				HttpFixture fixture = new HttpFixture(server.port())) {
			CountDownLatch resumed = new CountDownLatch(1);
			fixture.blockLoops(resumed);
			List<RawCaller> callers = new ArrayList<>();
			for (int i = 0; i < WAITING_CALLERS; i++) {
				RawCaller caller = new RawCaller(fixture.callerPort);
				callers.add(caller);
				caller.send(GET_REQUEST);
			}
			CompletableFuture<Void> stopped = CompletableFuture.runAsync(fixture.callerServer::stopAccepting);
			// The port is closed by the event loops.
			pause(200);
			resumed.countDown();
			List<String> responses = new ArrayList<>();
			for (RawCaller caller : callers) {
				responses.add(responseOrFailure(caller));
				caller.close();
			}
			assertThat(responses).allMatch((response) -> response.startsWith("HTTP/1.1 200"));
			stopped.get(10, TimeUnit.SECONDS);
		}
	}

	private static String responseOrFailure(RawCaller caller) {
		try {
			return caller.readResponse();
		}
		catch (IOException ex) {
			return "no response: " + ex.getMessage();
		}
	}

	private static void respond(String head, InputStream in, Socket connection) throws IOException {
		connection.getOutputStream().write(OK_RESPONSE.getBytes(StandardCharsets.US_ASCII));
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
