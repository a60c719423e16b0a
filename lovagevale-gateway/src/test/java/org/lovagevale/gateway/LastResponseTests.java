package org.lovagevale.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;

import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;

/**
 * Guards against the loss of the last response of a connection that the caller reads
 * slowly.
 */
@Timeout(30)
class LastResponseTests {

	private static final int RECEIVE_BUFFER_BYTES = 4_096;

	private TestServer server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer((request, socket) -> TestServer.write(socket,
				TestServer.ok(request, "r".repeat(Integer.parseInt(request.requestLine().split("[ /]+")[2])))));
		this.gateway = new TestGateway(List.of()).setMaxBodyBytes(300_000)
			.publishConfiguration(2_000)
			.publishServer("a", this.server.port())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
		socket.setSoTimeout(5_000);
		socket.connect(new InetSocketAddress(this.gateway.callerAddress().host(), this.gateway.callerAddress().port()));
		return socket;
	}

	private static String closing(String request) {
		return request.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
	}

	private static int readBody(Socket socket) throws IOException {
		InputStream in = socket.getInputStream();
		StringBuilder head = new StringBuilder();
		while (!head.toString().endsWith("\r\n\r\n")) {
			int next = in.read();
			assertThat(next).as("after %s", head).isNotNegative();
			head.append((char) next);
		}
		assertThat(head.toString()).startsWith("HTTP/1.1 200 ").containsIgnoringCase("connection: close");
		int count = 0;
		byte[] bytes = new byte[2_000];
		for (int read = in.read(bytes); read >= 0; read = in.read(bytes)) {
			count += read;
		}
		return count;
	}

	@ParameterizedTest
	@ValueSource(ints = { 10_000, 90_000, 540_000 })
	void requestSentBehindTheLastResponseDoesNotCutItOff(int bytes) throws Exception {
		try (Socket socket = connect()) {
			TestServer.write(socket, closing(TestGateway.getRequest("/read/" + bytes, "last")));
			Thread.sleep(200);
			TestServer.write(socket, TestGateway.getRequest("/read/10", "behind"));
			Thread.sleep(50);
			assertThat(readBody(socket)).isEqualTo(bytes);
		}
		assertThat(this.server.requests()).hasSize(1);
	}

	@ParameterizedTest
	@ValueSource(ints = { 10_000, 90_000, 540_000 })
	void requestSentBehindAResponseOfAPlannedStopDoesNotCutItOff(int bytes) throws Exception {
		try (Socket socket = connect()) {
			Thread stop = Thread.ofVirtual().start(this.gateway.process()::stop);
			Thread.sleep(100);
			TestServer.write(socket, TestGateway.getRequest("/read/" + bytes, "last"));
			Thread.sleep(200);
			TestServer.write(socket, TestGateway.getRequest("/read/10", "behind"));
			Thread.sleep(50);
			assertThat(readBody(socket)).isEqualTo(bytes);
			socket.close();
			stop.join();
		}
		assertThat(this.server.requests()).hasSize(1);
	}

	// The response is larger than what the operating system takes of it.
	@Test
	void responseThatIsStillWrittenIsNotCutOffAsIdleByAPlannedStop() throws Exception {
		int bytes = 540_000;
		try (Socket socket = connect()) {
			TestServer.write(socket, TestGateway.getRequest("/read/10", "first"));
			TestGateway.readResponse(socket);
			queueWholeResponses(socket);
			TestServer.write(socket, TestGateway.getRequest("/read/" + bytes, "last"));
			Thread.sleep(200);
			Thread stop = Thread.ofVirtual().start(this.gateway.process()::stop);
			// The process closes idle connections from 1,650 ms on.
			Thread.sleep(1_900);
			int count = 0;
			InputStream in = socket.getInputStream();
			byte[] buffer = new byte[4_000];
			for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
				count += read;
			}
			assertThat(count).isGreaterThan(bytes);
			stop.join();
		}
	}

	// The connection is at the entry process what a slow network makes of it.
	private void queueWholeResponses(Socket socket) {
		List<Channel> channels = this.gateway.loops().channelsTo(socket.getLocalPort());
		assertThat(channels).hasSize(1);
		ChannelConfig config = channels.getFirst().config();
		config.setOption(ChannelOption.SO_SNDBUF, 4_096);
		config.setOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(1_000_000, 1_000_000));
	}

	@Test
	void callerThatDoesNotReadTheLastResponseDoesNotHoldItsConnection() throws Exception {
		try (Socket socket = connect()) {
			TestServer.write(socket, TestGateway.getRequest("/read/10", "first"));
			TestGateway.readResponse(socket);
			queueWholeResponses(socket);
			TestServer.write(socket, closing(TestGateway.getRequest("/read/540000", "last")));
			// The idle timeout is 3 s.
			Thread.sleep(4_500);
			assertThat(this.gateway.loops().channelsTo(socket.getLocalPort())).isEmpty();
		}
	}

	// Guards against a truncated response without a length that looks complete because
	// its last parts wait in the entry process.
	@Test
	void responseThatEndsWithItsConnectionIsResetIfItsEndIsNotWritten() throws Exception {
		this.server.setHandler((request, socket) -> {
			TestServer.write(socket,
					TestServer.ok(request, "r".repeat(540_000)).replaceFirst("Content-Length.*\r\n", ""));
			socket.close();
		});
		try (Socket socket = connect()) {
			TestServer.write(socket, TestGateway.getRequest("/read/1", "first").replace("HTTP/1.1", "HTTP/1.0"));
			assertThat(socket.getInputStream().read()).isEqualTo('H');
			queueWholeResponses(socket);
			Thread.sleep(300);
			this.gateway.loops().channelsTo(socket.getLocalPort()).forEach(Channel::close);
			assertThatIOException().isThrownBy(() -> socket.getInputStream().readAllBytes())
				.withMessageContaining("reset");
		}
	}

	@Test
	void responseBeforeTheBodyOfItsRequestIsNotCutOffByTheRestOfTheBody() throws Exception {
		try (Socket socket = connect()) {
			TestServer.write(socket, "POST /none/1 HTTP/1.1\r\nHost: a.example\r\nTest-Id: early\r\n"
					+ "Connection: close\r\nContent-Length: 200000\r\n\r\n");
			for (int i = 0; i < 20; i++) {
				TestServer.write(socket, "c".repeat(10_000));
				Thread.sleep(5);
			}
			assertThat(TestGateway.readResponse(socket)).startsWith("HTTP/1.1 404 ");
			assertThat(socket.getInputStream().read()).isEqualTo(-1);
		}
	}

	@Test
	void connectionIsClosedIfTheCallerDoesNotCloseItAfterTheLastResponse() throws Exception {
		try (Socket socket = connect()) {
			TestServer.write(socket, closing(TestGateway.getRequest("/read/10", "last")));
			assertThat(readBody(socket)).isEqualTo(10);
			// A slow network may need longer than 1 s for the response.
			Thread.sleep(2_000);
			assertThat(this.gateway.loops().channelsTo(socket.getLocalPort())).hasSize(1);
			Thread.sleep(4_500);
			assertThat(this.gateway.loops().channelsTo(socket.getLocalPort())).isEmpty();
		}
	}

	// Guards against a process that waits for callers which do not close their
	// connections.
	@Test
	void callerThatKeepsItsConnectionDoesNotProlongAPlannedStop() throws Exception {
		try (Socket socket = connect()) {
			Thread stop = Thread.ofVirtual().start(this.gateway.process()::stop);
			Thread.sleep(200);
			TestServer.write(socket, TestGateway.getRequest("/read/10", "last"));
			assertThat(readBody(socket)).isEqualTo(10);
			assertThat(stop.join(Duration.ofSeconds(3))).isTrue();
			assertThat(this.gateway.loops().channelsTo(socket.getLocalPort())).isEmpty();
		}
	}

}
