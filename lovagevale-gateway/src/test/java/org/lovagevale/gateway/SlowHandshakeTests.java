package org.lovagevale.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.EpollIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a planned stop that loses the requests of callers whose handshakes end
 * while the process stops accepting connections.
 */
@Timeout(60)
class SlowHandshakeTests {

	/** Interval between callers, in milliseconds. */
	private static final long CALL_INTERVAL_MS = 5;

	/** Time after the begin of the stop of the first caller, in milliseconds. */
	private static final long FIRST_CALL_MS = 600;

	/**
	 * Number of callers. Their handshakes end 1.6 to 2.1 s after the begin of the stop,
	 * which takes 2.3 s and refuses new connections from 1.65 s on.
	 */
	private static final int CALLERS = 100;

	private static final Pattern ACCEPTED_AFTER_REFUSAL = Pattern
		.compile("event=port\\.closed refused=true accepted=([1-9]\\d*)");

	private final Logger logger = (Logger) LoggerFactory.getLogger("org.lovagevale.gateway.http");

	private final ListAppender<ILoggingEvent> appender = new ListAppender<>();

	private final EventLoopGroup callerGroup = new MultiThreadIoEventLoopGroup(1, EpollIoHandler.newFactory());

	@BeforeEach
	void attach() {
		this.appender.start();
		this.logger.addAppender(this.appender);
	}

	@AfterEach
	void shutDown() {
		this.logger.detachAppender(this.appender);
		this.callerGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	@Test
	void establishedConnectionIsAnsweredWheneverItsHandshakeEndsDuringAStop() throws Exception {
		try (TestServer server = new TestServer(
				(request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
				TestGateway gateway = new TestGateway(List.of()).publishConfiguration(2_000)
					.publishServer("a", server.port())
					.start()) {
			Thread stop = Thread.ofVirtual().start(gateway.process()::stop);
			List<CompletableFuture<String>> calls = new ArrayList<>();
			Thread.sleep(FIRST_CALL_MS);
			for (int i = 0; i < CALLERS; i++) {
				calls.add(SlowHandshakeCaller.call(this.callerGroup, gateway.callerAddress(),
						TestGateway.postRequest("/write/1", "slow-" + i, "x")));
				Thread.sleep(CALL_INTERVAL_MS);
			}
			stop.join();
			List<String> outcomes = calls.stream().map((call) -> call.orTimeout(10, TimeUnit.SECONDS).join()).toList();
			assertThat(outcomes).allMatch(
					(outcome) -> outcome.startsWith("HTTP/1.1 ") || outcome.equals(SlowHandshakeCaller.NOT_CONNECTED));
			assertThat(outcomes).anyMatch((outcome) -> outcome.startsWith("HTTP/1.1 "));
		}
		assertThat(lines()).as("connections whose handshakes ended after the refusal began")
			.anyMatch((line) -> ACCEPTED_AFTER_REFUSAL.matcher(line).matches());
	}

	private List<String> lines() {
		return List.copyOf(this.appender.list).stream().map(ILoggingEvent::getFormattedMessage).toList();
	}

}
