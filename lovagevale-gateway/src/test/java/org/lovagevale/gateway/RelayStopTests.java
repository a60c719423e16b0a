package org.lovagevale.gateway;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against the planned stop of an entry VM that leaves a relayed request without a
 * response or lets it run twice.
 */
@Timeout(60)
class RelayStopTests {

	private static final long CONTACT_EXCHANGE_MS = 800;

	private static final int CALLERS = 12;

	private final List<String> unanswered = new CopyOnWriteArrayList<>();

	private final AtomicInteger served = new AtomicInteger();

	private final AtomicInteger failed = new AtomicInteger();

	private TestRegions regions;

	private volatile boolean ended;

	@BeforeEach
	void start() throws Exception {
		this.regions = new TestRegions(1_000, CONTACT_EXCHANGE_MS);
	}

	@AfterEach
	void stop() throws Exception {
		this.regions.close();
	}

	@Test
	void requestsRelayedToAnEntryVmThatStopsAreAnswered() throws Exception {
		List<Thread> callers = startCallers();
		Thread.sleep(300);
		this.regions.home().process().stop();
		this.regions.home().close();
		Thread.sleep(300);
		this.ended = true;
		verifyEachIsAnsweredAndRunOnce(callers);
		assertThat(this.failed.get()).as("responses 502").isZero();
	}

	@Test
	void requestsRelayedByAnEntryVmThatStopsAreAnswered() throws Exception {
		List<Thread> callers = startCallers();
		Thread.sleep(300);
		this.regions.remote().process().stop();
		this.ended = true;
		verifyEachIsAnsweredAndRunOnce(callers);
		assertThat(this.failed.get()).as("responses 502").isZero();
	}

	// The other entry VM may close the connection as idle while the request is on its
	// way.
	@Test
	void nonIdempotentRequestIsNotRelayedOnAConnectionThatWasIdleForLong() throws Exception {
		AcceptCounter accepted = new AcceptCounter();
		this.regions.home().listening().pipeline().addFirst(accepted);
		// A handler is called only once the event loop has added it.
		this.regions.home().process().loop().submit(() -> {
		}).syncUninterruptibly();
		assertThat(this.regions.remote().exchange(TestGateway.postRequest("/write/1", "id-1", "x")))
			.startsWith("HTTP/1.1 200");
		Thread.sleep(2_400);
		assertThat(this.regions.remote().exchange(TestGateway.postRequest("/write/2", "id-2", "x")))
			.startsWith("HTTP/1.1 200");
		assertThat(accepted.count.get()).as("connections").isEqualTo(2);
	}

	private List<Thread> startCallers() {
		List<Thread> callers = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			String name = "caller-" + i;
			boolean kept = i % 2 == 0;
			callers.add(Thread.ofVirtual().start(() -> sendRequests(name, kept)));
		}
		return callers;
	}

	private void verifyEachIsAnsweredAndRunOnce(List<Thread> callers) throws InterruptedException {
		for (Thread caller : callers) {
			caller.join();
		}
		assertThat(this.served.get()).isPositive();
		assertThat(this.unanswered).isEmpty();
		assertThat(this.regions.server().requests()).extracting((request) -> request.headers().get("test-id"))
			.doesNotHaveDuplicates();
	}

	private void sendRequests(String name, boolean kept) {
		for (int i = 0; !this.ended; i++) {
			try (Socket socket = this.regions.remote().connect()) {
				sendRequests(socket, name + "-" + i, kept);
			}
			catch (ConnectException ex) {
				return;
			}
			catch (IOException | InterruptedException ex) {
				this.unanswered.add(name + "-" + i + " " + ex);
			}
		}
	}

	private void sendRequests(Socket socket, String name, boolean kept) throws IOException, InterruptedException {
		for (int i = 0; !this.ended; i++) {
			String id = name + "-" + i;
			TestServer.write(socket, TestGateway.postRequest("/write/1", id, "x"));
			String response = TestGateway.readResponse(socket);
			if (!response.startsWith("HTTP/1.1 ")) {
				this.unanswered.add(id);
				return;
			}
			this.served.addAndGet(response.startsWith("HTTP/1.1 200") ? 1 : 0);
			this.failed.addAndGet(response.startsWith("HTTP/1.1 502") ? 1 : 0);
			if (!kept || response.toLowerCase(Locale.ROOT).contains("connection: close")) {
				return;
			}
			Thread.sleep(5);
		}
	}

	/**
	 * Counts accepted connections.
	 *
	 * <p>
	 * Confined to the event loop, except for the count.
	 */
	private static final class AcceptCounter extends ChannelInboundHandlerAdapter {

		private final AtomicInteger count = new AtomicInteger();

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) {
			this.count.incrementAndGet();
			ctx.fireChannelRead(message);
		}

	}

}
