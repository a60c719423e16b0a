package org.lovagevale.gateway;

import java.net.Socket;
import java.util.List;

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
 * Guards against a planned stop that does not say which connections it cut off.
 */
@Timeout(60)
class StopReportTests {

	private final Logger logger = (Logger) LoggerFactory.getLogger(GatewayProcess.class);

	private final ListAppender<ILoggingEvent> appender = new ListAppender<>();

	@BeforeEach
	void attach() {
		this.appender.start();
		this.logger.addAppender(this.appender);
	}

	@AfterEach
	void detach() {
		this.logger.detachAppender(this.appender);
	}

	@Test
	void requestsThatAreCutOffAreReported() throws Exception {
		try (TestServer server = new TestServer((request, socket) -> sleep(4_000));
				TestGateway gateway = new TestGateway(List.of()).publishConfiguration(6_000)
					.publishServer("a", server.port())
					.start();
				Socket socket = gateway.connect()) {
			TestServer.write(socket, TestGateway.postRequest("/write/1", "i", "x"));
			Thread.sleep(100);
			gateway.process().stop();
		}
		assertThat(stoppedLine()).contains("connections=1 withRequest=1 silent=0");
	}

	@Test
	void eventLoopThatDoesNotRunAtTheEndIsReported() throws Exception {
		try (TestGateway gateway = new TestGateway(List.of()).publishConfiguration(2_000).start()) {
			gateway.process().loop().execute(() -> sleep(3_000));
			gateway.process().stop();
			assertThat(stoppedLine()).contains("connections=unknown").contains("the event loop does not run");
		}
	}

	private String stoppedLine() {
		return List.copyOf(this.appender.list)
			.stream()
			.map(ILoggingEvent::getFormattedMessage)
			.filter((line) -> line.startsWith("event=process.stopped"))
			.findFirst()
			.orElse("no such line");
	}

	private static void sleep(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
