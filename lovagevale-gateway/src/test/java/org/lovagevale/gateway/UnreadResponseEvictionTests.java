package org.lovagevale.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against responses that are given up although others fill the memory for
 * responses, which giving them up does not free.
 */
@Timeout(30)
class UnreadResponseEvictionTests {

	private static final long REQUEST_LIMIT_BYTES = 50_000_000;

	private static final long RESPONSE_LIMIT_BYTES = 300_000;

	private static final int SERVERS = 10;

	private static final int SLOW_CALLERS = 16;

	private static final int SOUND_REQUESTS = 5;

	/** The operating system takes less than that of what a caller does not read. */
	private static final int PIPELINED_REQUESTS = 3_000;

	private static final String BODY = "r".repeat(12_000);

	@Test
	void responseInTwoPartsArrivesBesideCallersThatDoNotRead() throws Exception {
		List<Socket> slow = new ArrayList<>();
		try (TestServer server = new TestServer(UnreadResponseEvictionTests::respond);
				TestGateway gateway = new TestGateway(List.of(),
						new MemoryLimits(REQUEST_LIMIT_BYTES, RESPONSE_LIMIT_BYTES))
					.publishConfiguration(6_000)) {
			for (int i = 0; i < SERVERS; i++) {
				gateway.publishServer("s" + i, server.port());
			}
			gateway.start();
			try {
				for (int i = 0; i < SLOW_CALLERS; i++) {
					slow.add(connectWithSmallWindow(gateway));
					Socket caller = slow.getLast();
					Thread.ofVirtual().start(() -> sendRequests(caller));
				}
				for (int i = 0; i < 2_000 && gateway.heldResponseBytes() < RESPONSE_LIMIT_BYTES; i++) {
					Thread.sleep(2);
				}
				for (int i = 0; i < SOUND_REQUESTS; i++) {
					assertThat(gateway.exchange(TestGateway.postRequest("/write/x", "sound-" + i, "b")))
						.startsWith("HTTP/1.1 200 ")
						.endsWith("ab");
				}
			}
			finally {
				for (Socket caller : slow) {
					caller.close();
				}
			}
		}
	}

	private static void respond(TestServer.Request request, Socket socket) throws IOException {
		if (request.requestLine().contains("/large")) {
			TestServer.write(socket, TestServer.ok(request, BODY));
			return;
		}
		String response = TestServer.ok(request, "ab");
		TestServer.write(socket, response.substring(0, response.length() - 1));
		pause();
		TestServer.write(socket, response.substring(response.length() - 1));
	}

	private static void sendRequests(Socket caller) {
		try {
			for (int i = 0; i < PIPELINED_REQUESTS; i++) {
				TestServer.write(caller, TestGateway.getRequest("/read/large", "slow-" + i));
			}
		}
		catch (IOException ex) {
			// The connection was closed, since its caller does not read.
		}
	}

	private static void pause() {
		try {
			Thread.sleep(20);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static Socket connectWithSmallWindow(TestGateway gateway) throws IOException {
		Socket caller = new Socket();
		caller.setReceiveBufferSize(16_384);
		caller.connect(new InetSocketAddress(gateway.callerAddress().host(), gateway.callerAddress().port()));
		return caller;
	}

}
