package org.lovagevale.gateway;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against callers that send requests and do not read the responses, which this
 * process then keeps.
 */
@Timeout(60)
class UnreadResponseTests {

	/** The operating system takes less than that of what a caller does not read. */
	private static final int REQUESTS = 3_000;

	private static final int BODY_BYTES = 12_000;

	/**
	 * What is kept for a caller that does not read: responses up to the mark of 32,768
	 * bytes, and one more.
	 */
	private static final long MAX_PENDING_BYTES = 32_768 + 2 * BODY_BYTES;

	private TestServer server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		String body = "r".repeat(BODY_BYTES);
		this.server = new TestServer((request, socket) -> TestServer.write(socket, TestServer.ok(request, body)));
		this.gateway = new TestGateway(List.of()).publishConfiguration(20_000)
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
	void responsesToPipelinedRequestsAreNotQueuedWhileTheCallerDoesNotRead() throws Exception {
		try (Socket caller = connectWithSmallWindow()) {
			Thread.ofVirtual().start(() -> sendRequests(caller));
			awaitPause();
			assertThat(pendingBytes(caller)).isLessThanOrEqualTo(MAX_PENDING_BYTES);
			InputStream in = new BufferedInputStream(caller.getInputStream());
			for (int i = 0; i < REQUESTS; i++) {
				assertThat(readHead(in)).startsWith("HTTP/1.1 200 ").contains("test-id: i" + i + "\r\n");
				assertThat(in.readNBytes(BODY_BYTES)).hasSize(BODY_BYTES);
			}
		}
	}

	private Socket connectWithSmallWindow() throws IOException {
		Socket caller = new Socket();
		caller.setReceiveBufferSize(16_384);
		caller.setSoTimeout(10_000);
		caller.connect(new InetSocketAddress(this.gateway.callerAddress().host(), this.gateway.callerAddress().port()));
		return caller;
	}

	private static void sendRequests(Socket caller) {
		try {
			for (int i = 0; i < REQUESTS; i++) {
				TestServer.write(caller, TestGateway.getRequest("/read/x", "i" + i).replace("3000", "20000"));
			}
		}
		catch (IOException ex) {
			// The responses that are missing then fail the test.
		}
	}

	// Waits until no further requests reach the server.
	private void awaitPause() throws InterruptedException {
		int before = 0;
		int handled = this.server.requests().size();
		while (handled > before || handled == 0) {
			Thread.sleep(500);
			before = handled;
			handled = this.server.requests().size();
		}
	}

	private long pendingBytes(Socket caller) {
		long bytes = 0;
		for (Channel channel : this.gateway.loops().channelsTo(caller.getLocalPort())) {
			bytes += channel.eventLoop().submit(() -> pendingBytes(channel)).syncUninterruptibly().getNow();
		}
		return bytes;
	}

	private static long pendingBytes(Channel channel) {
		ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
		return (pending != null) ? pending.totalPendingWriteBytes() : 0;
	}

	private static String readHead(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (!head.toString().endsWith("\r\n\r\n")) {
			int next = in.read();
			if (next < 0) {
				break;
			}
			head.append((char) next);
		}
		return head.toString().replaceFirst("(?i)(?<=\r\n)test-id", "test-id");
	}

}
