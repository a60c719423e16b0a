package org.lovagevale.gateway;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against a planned stop that cuts off requests: those which callers have just
 * sent on connections that were accepted, and those which are passed on to a server
 * although the process ends before they do.
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

	// On a busy machine, the thread may wait for a processor between the last accept and
	// the close of the port.
	@Test
	void connectionThatArrivesJustBeforeThePortIsClosedIsNotCutOff() throws Exception {
		try (TestServer server = new TestServer(
				(request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
				TestGateway gateway = new TestGateway(List.of()).publishConfiguration(2_000)
					.publishServer("a", server.port())
					.start()) {
			CallerBeforeClose caller = new CallerBeforeClose(gateway);
			gateway.listening().pipeline().addFirst(caller);
			gateway.process().stop();
			assertThat(caller.outcome.get(10, TimeUnit.SECONDS)).matches("(?s)not connected|HTTP/1.1 200.*");
		}
	}

	// Guards against an attempt to connect that gets no answer until it is repeated after
	// 1 s.
	@Test
	void newConnectionIsAcceptedOrRefusedAtOnceThroughoutTheStop() throws Exception {
		try (TestGateway gateway = new TestGateway(List.of()).publishConfiguration(2_000).start()) {
			Thread stop = Thread.ofVirtual().start(gateway.process()::stop);
			InetSocketAddress address = new InetSocketAddress(gateway.callerAddress().host(),
					gateway.callerAddress().port());
			int refused = 0;
			while (stop.isAlive()) {
				try (Socket socket = new Socket()) {
					socket.connect(address, 500);
				}
				catch (ConnectException ex) {
					refused++;
				}
				Thread.sleep(10);
			}
			assertThat(refused).isPositive();
		}
	}

	// Guards against a process that ends while callers can still connect to it.
	@Test
	void portIsClosedAtTheEndOfAStopThatBeganLate() throws Exception {
		try (TestGateway gateway = new TestGateway(List.of()).publishConfiguration(2_000).start()) {
			gateway.process().loop().execute(() -> sleep(400));
			gateway.process().stop();
			assertThatThrownBy(gateway::connect).isInstanceOf(ConnectException.class);
		}
	}

	// Guards against a port that is still open when a process with a short stop time
	// ends.
	@ParameterizedTest
	@ValueSource(longs = { 1_000, 1_500, 2_000 })
	void portIsClosedAtTheEndOfAShortStop(long stopMs) throws Exception {
		try (TestGateway gateway = new TestGateway(List.of(), stopMs, MemoryLimits.forThisJvm().requestBytes())
			.publishConfiguration(2_000)
			.start()) {
			gateway.process().stop();
			assertThatThrownBy(gateway::connect).isInstanceOf(ConnectException.class);
		}
	}

	@Test
	void secondStopDoesNotRestartTheFirstOne() throws Exception {
		try (TestGateway gateway = new TestGateway(List.of()).publishConfiguration(2_000).start()) {
			Thread stop = Thread.ofVirtual().start(gateway.process()::stop);
			Thread.sleep(1_000);
			gateway.process().stop();
			Thread.sleep(200);
			// Callers can connect for 1,650 ms from the begin of the first stop.
			gateway.connect().close();
			stop.join();
			assertThatThrownBy(gateway::connect).isInstanceOf(ConnectException.class);
		}
	}

	// The connection is accepted before the event loop is blocked; its request arrives
	// meanwhile.
	@Test
	void requestThatArrivesDuringADelayIsNotCutOffAsIdle() throws Exception {
		try (TestServer server = new TestServer(
				(request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
				TestGateway gateway = new TestGateway(List.of()).publishConfiguration(2_000)
					.publishServer("a", server.port())
					.start()) {
			gateway.listening().pipeline().addFirst(new DelayAfterAccept());
			Thread stop = Thread.ofVirtual().start(gateway.process()::stop);
			// The process closes idle connections from 1,650 ms on.
			Thread.sleep(1_400);
			try (Socket socket = gateway.connect()) {
				Thread.sleep(50);
				TestServer.write(socket, TestGateway.postRequest("/write/1", "i", "x"));
				assertThat(TestGateway.readResponse(socket)).startsWith("HTTP/1.1 ");
			}
			stop.join();
		}
	}

	// Guards against callers that keep using a connection until the process ends.
	@Test
	void connectionOpenedDuringTheStopIsClosedAfterItsResponse() throws Exception {
		try (TestServer server = new TestServer(
				(request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
				TestGateway gateway = new TestGateway(List.of()).publishConfiguration(1_000)
					.publishServer("a", server.port())
					.start()) {
			Thread stop = Thread.ofVirtual().start(gateway.process()::stop);
			Thread.sleep(200);
			assertThat(gateway.exchange(TestGateway.postRequest("/write/1", "i", "x"))).startsWith("HTTP/1.1 200")
				.containsIgnoringCase("connection: close");
			stop.join();
		}
	}

	@Test
	void requestThatWouldOutliveTheProcessIsRejectedAsNotRun() throws Exception {
		try (TestServer server = new TestServer(PlannedStopTests::answerSlowly);
				TestGateway gateway = new TestGateway(List.of()).publishConfiguration(6_000)
					.publishServer("a", server.port())
					.start()) {
			Thread stop = Thread.ofVirtual().start(gateway.process()::stop);
			Thread.sleep(1_400);
			assertThat(gateway.exchange(TestGateway.postRequest("/write/1", "late", "x"))).startsWith("HTTP/1.1 503")
				.contains("Retry-After")
				.containsIgnoringCase("connection: close");
			stop.join();
			assertThat(server.requests()).isEmpty();
		}
	}

	// Guards against requests that get their slot when it is too late to use it.
	@Test
	void requestThatWaitsForASlotIsAnsweredBeforeTheProcessEnds() throws Exception {
		try (TestServer server = new TestServer(PlannedStopTests::answerSlowly);
				TestGateway gateway = new TestGateway(List.of()).publishConfiguration(6_000)
					.publishServer("a", server.port())
					.start()) {
			List<Thread> callers = new ArrayList<>();
			List<String> responses = new CopyOnWriteArrayList<>();
			for (int i = 0; i < 6; i++) {
				String request = TestGateway.postRequest("/write/" + i, "id-" + i, "x");
				callers.add(Thread.ofVirtual().start(() -> responses.add(exchangeOrFail(gateway, request))));
			}
			Thread.sleep(100);
			gateway.process().stop();
			// The process would end now.
			List<String> inTime = List.copyOf(responses);
			for (Thread caller : callers) {
				caller.join();
			}
			assertThat(inTime).filteredOn((response) -> response.startsWith("HTTP/1.1 200")).hasSize(3);
			assertThat(inTime).filteredOn((response) -> response.startsWith("HTTP/1.1 503")).hasSize(3);
			assertThat(server.requests()).hasSize(3);
		}
	}

	private static void answerSlowly(TestServer.Request request, Socket socket) throws IOException {
		sleep(1_500);
		TestServer.write(socket, TestServer.ok(request, "hello"));
	}

	private static void sleep(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String exchangeOrFail(TestGateway gateway, String request) {
		try {
			return gateway.exchange(request);
		}
		catch (IOException ex) {
			return "cut off: " + ex.getMessage();
		}
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

	/**
	 * Blocks the event loop after connections were accepted and before their data is
	 * read.
	 *
	 * <p>
	 * Confined to the event loop.
	 */
	private static final class DelayAfterAccept extends ChannelInboundHandlerAdapter {

		@Override
		public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
			Thread.sleep(500);
			ctx.fireChannelReadComplete();
		}

	}

	/**
	 * Calls the entry process when the event loop is about to close the channel, and
	 * blocks the loop meanwhile.
	 *
	 * <p>
	 * Confined to the event loop, except for the outcome.
	 */
	private static final class CallerBeforeClose extends ChannelOutboundHandlerAdapter {

		private final TestGateway gateway;

		private final CompletableFuture<String> outcome = new CompletableFuture<>();

		private final CountDownLatch sent = new CountDownLatch(1);

		private boolean called;

		private CallerBeforeClose(TestGateway gateway) {
			this.gateway = gateway;
		}

		@Override
		public void close(ChannelHandlerContext ctx, ChannelPromise promise) throws Exception {
			if (!this.called) {
				this.called = true;
				Thread.ofPlatform().start(() -> this.outcome.complete(call()));
				this.sent.await(200, TimeUnit.MILLISECONDS);
			}
			ctx.close(promise);
		}

		private String call() {
			try (Socket socket = this.gateway.connect()) {
				TestServer.write(socket, TestGateway.postRequest("/write/1", "i", "x"));
				this.sent.countDown();
				return TestGateway.readResponse(socket);
			}
			catch (ConnectException ex) {
				return "not connected";
			}
			catch (IOException ex) {
				return "cut off: " + ex.getMessage();
			}
		}

	}

}
