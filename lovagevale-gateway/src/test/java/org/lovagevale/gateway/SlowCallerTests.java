package org.lovagevale.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against the loss of the end of a response when its connection is closed while
 * the caller still sends data.
 */
@Timeout(60)
class SlowCallerTests {

	private static final int LARGE_BODY_BYTES = 4 * 1024 * 1024;

	// Data that arrives on a closed connection resets it, which discards the part of the
	// response that the caller has not received yet.
	@Test
	void requestsBehindTheLastResponseDoNotCutItOff() throws Exception {
		String body = "x".repeat(LARGE_BODY_BYTES);
		try (TestServer server = new TestServer(
				(request, socket) -> TestServer.write(socket, TestServer.ok(request, body)));
				TestGateway gateway = new TestGateway(List.of()).publishConfiguration(2_000)
					.publishServer("a", server.port())
					.start();
				Socket caller = new Socket()) {
			caller.setReceiveBufferSize(16_384);
			caller.setSoTimeout(10_000);
			caller.connect(new InetSocketAddress(gateway.callerAddress().host(), gateway.callerAddress().port()));
			String closing = TestGateway.getRequest("/read/1", "i")
				.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
			TestServer.write(caller, closing);
			assertThat(readAndSendRequests(caller)).isGreaterThan(LARGE_BODY_BYTES);
		}
	}

	private static int readAndSendRequests(Socket caller) throws Exception {
		byte[] buffer = new byte[65_536];
		int total = 0;
		try {
			for (int count = 0; count >= 0; count = caller.getInputStream().read(buffer)) {
				total += count;
				Thread.sleep(2);
				TestServer.write(caller, TestGateway.getRequest("/read/2", "behind-" + total));
			}
		}
		catch (IOException ex) {
			// The number of bytes shows that the connection was reset.
		}
		return total;
	}

}
