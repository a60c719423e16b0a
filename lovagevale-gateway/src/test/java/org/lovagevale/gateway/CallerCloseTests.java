package org.lovagevale.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.List;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against connections of callers that end without a trace in the log and the
 * metrics, so that a request without a response cannot be explained.
 */
@Timeout(30)
class CallerCloseTests {

	private final ListAppender<ILoggingEvent> appender = new ListAppender<>();

	private TestServer server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.appender.start();
		logger().addAppender(this.appender);
		this.server = new TestServer((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		this.gateway = new TestGateway(List.of()).publishConfiguration(2_000)
			.publishServer("a", this.server.port())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		logger().detachAppender(this.appender);
		this.gateway.close();
		this.server.close();
	}

	private static Logger logger() {
		return (Logger) LoggerFactory.getLogger("org.lovagevale.gateway");
	}

	private String closeLine() throws InterruptedException {
		for (int i = 0; i < 300; i++) {
			List<String> lines = List.copyOf(this.appender.list)
				.stream()
				.filter((event) -> event.getLevel().levelInt >= Level.INFO_INT)
				.map(ILoggingEvent::getFormattedMessage)
				.filter((line) -> line.startsWith("event=caller.closed "))
				.toList();
			if (!lines.isEmpty()) {
				assertThat(lines).hasSize(1);
				return lines.getFirst();
			}
			Thread.sleep(10);
		}
		return "";
	}

	private void assertCounted(String reason, boolean cut) throws InterruptedException {
		String sample = "lovagevale_gateway_callers_closed_total{cut=\"" + cut + "\",reason=\"" + reason + "\"} 1.0";
		for (int i = 0; i < 500 && !this.gateway.process().metrics().scrape().contains(sample); i++) {
			Thread.sleep(10);
		}
		assertThat(this.gateway.process().metrics().scrape()).contains(sample);
	}

	@Test
	void callerThatLeavesWhileItsRequestIsAtAServerIsReported() throws Exception {
		this.server.setHandler((request, socket) -> socket.getInputStream().read());
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, TestGateway.getRequest("/read/1", "left"));
			Thread.sleep(100);
		}
		assertThat(closeLine()).contains("reason=CALLER ", "request=SENT id=left sends=1 ", "stopping=false");
		assertCounted("CALLER", true);
	}

	@Test
	void resetOfTheConnectionIsReported() throws Exception {
		this.server.setHandler((request, socket) -> socket.getInputStream().read());
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, TestGateway.getRequest("/read/1", "reset"));
			Thread.sleep(100);
			socket.setSoLinger(true, 0);
		}
		assertThat(closeLine()).contains("reason=CONNECTION_FAILED ", "request=SENT id=reset ", "reset");
		assertCounted("CONNECTION_FAILED", true);
	}

	@Test
	void headThatHadArrivedInPartIsReported() throws Exception {
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, "GET /read/1 HTTP/1.1\r\n");
			Thread.sleep(100);
		}
		assertThat(closeLine()).contains("reason=CALLER ", "request=NONE ", "headBytes=22 ");
		assertCounted("CALLER", true);
	}

	@Test
	void responseThatItsServerBreaksOffIsReported() throws Exception {
		this.server.setHandler((request, socket) -> {
			TestServer.write(socket, TestServer.ok(request, "x".repeat(60_000)).substring(0, 50_000));
			socket.close();
		});
		assertThat(this.gateway.exchange(TestGateway.getRequest("/read/1", "broken"))).startsWith("HTTP/1.1 200");
		assertThat(closeLine()).contains("reason=RESPONSE_ABORTED ", "request=RESPONDING id=broken ",
				"why=\"connection closed by the server\"");
		assertCounted("RESPONSE_ABORTED", true);
	}

	// The test protocol throws an exception for a time that is not a number.
	@Test
	void internalErrorIsAnsweredAndReported() throws Exception {
		assertThat(this.gateway.exchange(TestGateway.getRequest("/read/1", "x").replace("3000", "soon")))
			.startsWith("HTTP/1.1 500")
			.containsIgnoringCase("connection: close");
		assertThat(closeLine()).contains("reason=ERROR ", "request=NONE ", "NumberFormatException");
		assertCounted("ERROR", false);
	}

	@Test
	void partOfAResponseThatCouldNotBeWrittenIsReported() throws Exception {
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, TestGateway.getRequest("/read/1", "first"));
			TestGateway.readResponse(socket);
			FailingWrites.install(this.gateway, socket.getLocalPort(), 0);
			TestServer.write(socket, TestGateway.getRequest("/read/2", "unwritten"));
			assertThat(socket.getInputStream().read()).isEqualTo(-1);
		}
		assertThat(closeLine()).contains("reason=WRITE_FAILED ", "request=RESPONDING id=unwritten ",
				"direct buffer memory");
		assertCounted("WRITE_FAILED", true);
	}

	@Test
	void requestsBehindTheLastResponseAreReported() throws Exception {
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket,
					TestGateway.getRequest("/read/1", "last").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
							+ TestGateway.getRequest("/read/2", "behind")
							+ TestGateway.getRequest("/read/3", "behind"));
			assertThat(TestGateway.readResponse(socket)).startsWith("HTTP/1.1 200");
		}
		assertThat(closeLine()).contains("reason=LAST_RESPONSE ", "request=NONE ", "discardedRequests=2 ");
		assertCounted("LAST_RESPONSE", false);
	}

	@Test
	void bodyThatIsNotReadAfterAnEarlyResponseIsReported() throws Exception {
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, "POST /none/1 HTTP/1.1\r\nHost: a.example\r\nTest-Id: early\r\n"
					+ "Connection: close\r\nContent-Length: 50000\r\n\r\nbegin");
			assertThat(TestGateway.readResponse(socket)).startsWith("HTTP/1.1 404");
			Thread.sleep(100);
		}
		assertThat(closeLine()).contains("request=NONE ", "bodyUnread=true ");
	}

	// Guards against a line for each connection in normal operation.
	@Test
	void ordinaryClosesAreOnlyCounted() throws Exception {
		exchangeAndClose("id-1", false);
		assertCounted("CALLER", false);
		exchangeAndClose("id-2", true);
		assertCounted("LAST_RESPONSE", false);
		try (Socket idle = this.gateway.connect()) {
			TestServer.write(idle, TestGateway.getRequest("/read/1", "id-3"));
			TestGateway.readResponse(idle);
			assertThat(idle.getInputStream().read()).isEqualTo(-1);
		}
		assertCounted("IDLE", false);
		assertThat(List.copyOf(this.appender.list)).noneMatch((event) -> event.getLevel().levelInt >= Level.INFO_INT
				&& event.getFormattedMessage().startsWith("event=caller.closed "));
	}

	private void exchangeAndClose(String id, boolean close) throws IOException {
		String request = TestGateway.getRequest("/read/1", id);
		assertThat(
				this.gateway.exchange(close ? request.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n") : request))
			.startsWith("HTTP/1.1 200");
	}

}
