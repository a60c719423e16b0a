package org.lovagevale.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against callers that take nothing of their responses: together they must not
 * take the memory of the process, its servers or the responses of callers that read.
 */
@Timeout(60)
class StalledCallerTests {

	private static final long RESPONSE_LIMIT_BYTES = 1_600_000;

	/**
	 * The account may exceed its limit by what is read in one turn.
	 */
	private static final long MAX_HELD_BYTES = RESPONSE_LIMIT_BYTES * 11 / 10;

	private static final long REQUEST_LIMIT_BYTES = 50_000_000;

	private static final int STALLED_CALLERS = 30;

	private static final int SERVERS = 25;

	/** The operating system takes less than that of what a caller does not read. */
	private static final int LARGE_BODY_BYTES = 12_000_000;

	private static final int SLOW_BODY_BYTES = 6_000_000;

	private static final int SLOW_READ_BYTES = 16_384;

	private final List<Socket> stalled = new ArrayList<>();

	private TestServer server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer(StalledCallerTests::respond);
		this.gateway = new TestGateway(List.of(), new MemoryLimits(REQUEST_LIMIT_BYTES, RESPONSE_LIMIT_BYTES))
			.publishConfiguration(20_000);
		for (int i = 0; i < SERVERS; i++) {
			this.gateway.publishServer("s" + i, this.server.port());
		}
		this.gateway.start();
	}

	@AfterEach
	void stop() throws Exception {
		for (Socket socket : this.stalled) {
			socket.close();
		}
		this.gateway.close();
		this.server.close();
	}

	@Test
	void stalledCallersTakeNeitherTheMemoryNorTheResponsesOfOthers() throws Exception {
		CompletableFuture<Integer> slow = CompletableFuture.supplyAsync(this::readSlowly);
		for (int i = 0; i < STALLED_CALLERS; i++) {
			this.stalled.add(request("/read/large", "stalled-" + i));
		}
		for (int i = 0; i < 100; i++) {
			assertThat(this.gateway.exchange(TestGateway.getRequest("/read/small", "small-" + i)))
				.startsWith("HTTP/1.1 200 ")
				.endsWith("done");
			Thread.sleep(60);
		}
		assertThat(pendingBytes()).isLessThanOrEqualTo(MAX_HELD_BYTES);
		assertThat(this.gateway.heldResponseBytes()).isLessThanOrEqualTo(MAX_HELD_BYTES);
		assertThat(slow.get()).isEqualTo(SLOW_BODY_BYTES);
	}

	@Test
	void callerThatTakesNothingForTheIdleTimeoutIsClosed() throws Exception {
		Socket caller = request("/read/large", "stalled");
		this.stalled.add(caller);
		for (int i = 0; i < 100 && this.gateway.heldResponseBytes() == 0; i++) {
			Thread.sleep(20);
		}
		assertThat(this.gateway.heldResponseBytes()).isPositive();
		for (int i = 0; i < 400 && !this.gateway.loops().channelsTo(caller.getLocalPort()).isEmpty(); i++) {
			Thread.sleep(20);
		}
		assertThat(this.gateway.loops().channelsTo(caller.getLocalPort())).isEmpty();
		assertThat(this.gateway.heldResponseBytes()).isZero();
	}

	private Socket request(String path, String id) throws IOException {
		Socket caller = new Socket();
		caller.setReceiveBufferSize(SLOW_READ_BYTES);
		caller.setSoTimeout(10_000);
		caller.connect(new InetSocketAddress(this.gateway.callerAddress().host(), this.gateway.callerAddress().port()));
		TestServer.write(caller, TestGateway.getRequest(path, id).replace("3000", "20000"));
		return caller;
	}

	// Returns the number of received bytes of the body.
	private int readSlowly() {
		try (Socket caller = request("/read/slow", "slow")) {
			InputStream in = caller.getInputStream();
			String head = "";
			while (!head.endsWith("\r\n\r\n")) {
				head += (char) in.read();
			}
			byte[] buffer = new byte[SLOW_READ_BYTES];
			int total = 0;
			for (int count = 0; count >= 0 && total < SLOW_BODY_BYTES; count = in.read(buffer)) {
				total += count;
				Thread.sleep(10);
			}
			return total;
		}
		catch (IOException | InterruptedException ex) {
			return -1;
		}
	}

	private static void respond(TestServer.Request request, Socket socket) throws IOException {
		int bytes = request.requestLine().contains("slow") ? SLOW_BODY_BYTES : LARGE_BODY_BYTES;
		if (request.requestLine().contains("small")) {
			TestServer.write(socket, TestServer.ok(request, "done"));
			return;
		}
		TestServer.write(socket, "HTTP/1.1 200 OK\r\nTest-Id: " + request.headers().get("test-id")
				+ "\r\nTest-Signature: s\r\nContent-Length: " + bytes + "\r\n\r\n");
		String piece = "p".repeat(60_000);
		for (int i = 0; i < bytes; i += piece.length()) {
			TestServer.write(socket, piece);
		}
	}

	private long pendingBytes() {
		long bytes = 0;
		for (Socket caller : this.stalled) {
			for (Channel channel : this.gateway.loops().channelsTo(caller.getLocalPort())) {
				bytes += channel.eventLoop().submit(() -> pendingBytes(channel)).syncUninterruptibly().getNow();
			}
		}
		return bytes;
	}

	private static long pendingBytes(Channel channel) {
		ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
		return (pending != null) ? pending.totalPendingWriteBytes() : 0;
	}

}
