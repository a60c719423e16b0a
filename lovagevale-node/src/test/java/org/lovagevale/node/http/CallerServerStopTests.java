package org.lovagevale.node.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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
 * Guards against a planned stop that ends requests without a response: those on
 * connections that wait to be accepted, those that arrive on open connections while the
 * event loops are delayed, and those whose response is still being sent.
 */
@Timeout(60)
class CallerServerStopTests {

	private static final String OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

	private static final String GET_REQUEST = "GET /transfers/1 HTTP/1.1\r\nHost: a\r\n\r\n";

	private static final int WAITING_CALLERS = 40;

	private static final int LARGE_BODY_BYTES = 4 * 1024 * 1024;

	private static final long CLOSE_TIMEOUT_MS = 5_000;

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

	// Guards against a process that ends before it has read a request.
	@Test
	void requestThatArrivesDuringADelayIsAnsweredBeforeTheConnectionsAreClosed() throws Exception {
		try (RawServer server = new RawServer(CallerServerStopTests::respond);
				HttpFixture fixture = new HttpFixture(server.port());
				RawCaller caller = new RawCaller(fixture.callerPort)) {
			caller.send(GET_REQUEST);
			assertThat(caller.readResponse()).startsWith("HTTP/1.1 200");
			fixture.leaving = true;
			fixture.callerServer.stopAccepting();
			CountDownLatch resumed = new CountDownLatch(1);
			fixture.blockLoops(resumed);
			CompletableFuture<Integer> closed = CompletableFuture
				.supplyAsync(() -> fixture.callerServer.closeConnections(CLOSE_TIMEOUT_MS));
			caller.send(GET_REQUEST);
			pause(200);
			assertThat(closed).isNotDone();
			resumed.countDown();
			assertThat(responseOrFailure(caller)).startsWith("HTTP/1.1 200").containsIgnoringCase("connection: close");
			assertThat(closed.get(10, TimeUnit.SECONDS)).isZero();
		}
	}

	// Guards against a process that waits until the deadline for callers that send
	// nothing.
	@Test
	void idleConnectionsAreClosedAtOnce() throws Exception {
		try (RawServer server = new RawServer(CallerServerStopTests::respond);
				HttpFixture fixture = new HttpFixture(server.port());
				RawCaller used = new RawCaller(fixture.callerPort);
				RawCaller unused = new RawCaller(fixture.callerPort)) {
			used.send(GET_REQUEST);
			assertThat(used.readResponse()).startsWith("HTTP/1.1 200");
			fixture.callerServer.stopAccepting();
			CompletableFuture<Integer> closed = CompletableFuture
				.supplyAsync(() -> fixture.callerServer.closeConnections(CLOSE_TIMEOUT_MS));
			assertThat(used.in.read()).isNegative();
			assertThat(unused.in.read()).isNegative();
			used.close();
			unused.close();
			assertThat(closed.get(2, TimeUnit.SECONDS)).isZero();
		}
	}

	// Data that arrives on a closed connection resets it, which discards the part of the
	// response that the caller has not received yet.
	@Test
	void pipelinedRequestsDoNotCutOffTheLastResponse() throws Exception {
		try (RawServer server = new RawServer(CallerServerStopTests::respondLarge);
				HttpFixture fixture = new HttpFixture(server.port());
				Socket caller = new Socket()) {
			fixture.leaving = true;
			caller.setReceiveBufferSize(16_384);
			caller.setSoTimeout(20_000);
			caller.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), fixture.callerPort));
			caller.getOutputStream().write(GET_REQUEST.getBytes(StandardCharsets.US_ASCII));
			assertThat(RawCaller.readHead(caller.getInputStream())).containsIgnoringCase("connection: close");
			assertThat(readAndSendRequests(caller)).isEqualTo(LARGE_BODY_BYTES);
		}
	}

	private static int readAndSendRequests(Socket caller) {
		byte[] buffer = new byte[65_536];
		int total = 0;
		try {
			for (int count = 0; count >= 0; count = caller.getInputStream().read(buffer)) {
				total += count;
				pause(2);
				caller.getOutputStream().write(GET_REQUEST.getBytes(StandardCharsets.US_ASCII));
			}
		}
		catch (IOException ex) {
			// The number of bytes shows that the connection was reset.
		}
		return total;
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

	private static void respondLarge(String head, InputStream in, Socket connection) throws IOException {
		String responseHead = "HTTP/1.1 200 OK\r\nContent-Length: " + LARGE_BODY_BYTES + "\r\n\r\n";
		connection.getOutputStream().write(responseHead.getBytes(StandardCharsets.US_ASCII));
		connection.getOutputStream().write(new byte[LARGE_BODY_BYTES]);
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
