package org.lovagevale.gateway;

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
 * Follows the steps of docs/OPERATIONS.md from the ID of a request to the cause of its
 * failure. Guards against log lines without the fields that name the cause.
 */
@Timeout(30)
class FailureExplanationTests {

	private final ListAppender<ILoggingEvent> appender = new ListAppender<>();

	private TestServer server;

	private TestGateway gateway;

	@BeforeEach
	void start() throws Exception {
		this.appender.start();
		logger().addAppender(this.appender);
		this.server = new TestServer((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		this.gateway = new TestGateway(List.of()).publishConfiguration(2_000);
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

	private List<String> logLinesOf(String id) throws InterruptedException {
		// A line may be logged only after the response has arrived.
		Thread.sleep(100);
		return List.copyOf(this.appender.list)
			.stream()
			.map(ILoggingEvent::getFormattedMessage)
			.filter((line) -> line.contains(" id=" + id + " "))
			.toList();
	}

	@Test
	void logOfRequestRefusedBeforeItWasSentNamesTheCause() throws Exception {
		this.gateway.start();
		assertThat(this.gateway.exchange(TestGateway.getRequest("/read/1", "refused"))).startsWith("HTTP/1.1 503");
		List<String> lines = logLinesOf("refused");
		assertThat(lines).hasSize(1);
		assertThat(lines.getFirst()).contains("event=request.done", "sends=0", "mayHaveRun=false", "NO_SERVER",
				"version=1", "catalogAgeMs=");
	}

	@Test
	void logOfRequestThatFailedAtAServerNamesServerAndReason() throws Exception {
		this.server.setHandler((request, socket) -> socket.close());
		this.gateway.publishServer("a", this.server.port()).start();
		assertThat(this.gateway.exchange(TestGateway.postRequest("/write/1", "failed", "x")))
			.startsWith("HTTP/1.1 502");
		List<String> lines = logLinesOf("failed");
		assertThat(lines).hasSize(2);
		assertThat(lines.get(0)).contains("event=request.sent", "server=a", "loadAgeMs=");
		assertThat(lines.get(1)).contains("status=502", "origin=entry", "mayHaveRun=true", "connection closed");
	}

	@Test
	void logOfSlowRequestShowsWhereItsTimeWasSpent() throws Exception {
		this.server.setHandler((request, socket) -> {
			try {
				Thread.sleep(600);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			TestServer.write(socket, TestServer.ok(request, "hello"));
		});
		this.gateway.publishServer("a", this.server.port()).start();
		assertThat(this.gateway.exchange(TestGateway.getRequest("/read/1", "late"))).startsWith("HTTP/1.1 200");
		List<String> lines = logLinesOf("late");
		assertThat(lines.get(0)).containsPattern("slotMs=[0-9]{1,2} connectMs=[0-9]{1,2} ");
		assertThat(lines.get(1)).containsPattern("tookMs=[6-9][0-9]{2} ").contains("origin=server");
	}

}
