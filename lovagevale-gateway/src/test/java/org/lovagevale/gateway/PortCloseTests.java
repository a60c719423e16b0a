package org.lovagevale.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.EpollIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.lovagevale.gateway.http.ServerConnections;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against the close of a port that resets connections whose handshakes are in
 * progress.
 */
@Timeout(60)
class PortCloseTests {

	/** Interval between callers, in milliseconds. */
	private static final long CALL_INTERVAL_MS = 10;

	/**
	 * Time in which callers begin to connect, in milliseconds. Their handshakes end 1 s
	 * later.
	 */
	private static final long CALLS_MS = 400;

	/**
	 * Time after the first call at which new connections are refused, in milliseconds.
	 * The handshakes end from 100 ms before it to 300 ms after it.
	 */
	private static final long CLOSE_AFTER_MS = 1_100;

	/** Longer than a caller on a busy machine takes to send its request. */
	private static final long MIN_IDLE_MS = 1_000;

	private static final long CLOSE_TIMEOUT_MS = 5_000;

	private final LoopResources loops = LoopResources.create("test", 1, true);

	private final EventLoopGroup callerGroup = new MultiThreadIoEventLoopGroup(1, EpollIoHandler.newFactory());

	private final ServerConnections connections = new ServerConnections(MIN_IDLE_MS);

	private DisposableServer server;

	@BeforeEach
	void start() {
		this.server = HttpServer.create()
			.runOn(this.loops)
			.host("127.0.0.1")
			.port(0)
			.doOnChannelInit((observer, channel, remote) -> this.connections.add(channel))
			.handle((request, response) -> response.keepAlive(false).header("Content-Length", "0").send())
			.bindNow();
	}

	@AfterEach
	void stop() {
		this.server.disposeNow();
		this.loops.dispose();
		this.callerGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	@Test
	void establishedConnectionIsAnsweredWheneverItsHandshakeEnds() throws Exception {
		HostPort address = new HostPort("127.0.0.1", ((InetSocketAddress) this.server.address()).getPort());
		// Loads the classes of both sides, which would delay the first callers.
		assertThat(call(address).get(10, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200");
		List<CompletableFuture<String>> calls = new ArrayList<>();
		long startedNanos = System.nanoTime();
		while (elapsedMs(startedNanos) < CALLS_MS) {
			calls.add(call(address));
			Thread.sleep(CALL_INTERVAL_MS);
		}
		Thread.sleep(Math.max(0, CLOSE_AFTER_MS - elapsedMs(startedNanos)));
		this.connections.closePort(this.server.channel(), this.server::dispose);
		this.connections.close(CLOSE_TIMEOUT_MS);
		assertThat(this.server.channel().isOpen()).isFalse();
		List<String> outcomes = calls.stream().map((call) -> call.orTimeout(10, TimeUnit.SECONDS).join()).toList();
		// A caller whose filter is removed late has no connection.
		assertThat(outcomes).allMatch(
				(outcome) -> outcome.startsWith("HTTP/1.1 200") || outcome.equals(SlowHandshakeCaller.NOT_CONNECTED));
		assertThat(outcomes).anyMatch((outcome) -> outcome.startsWith("HTTP/1.1 200"));
	}

	private static long elapsedMs(long sinceNanos) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
	}

	private CompletableFuture<String> call(HostPort address) {
		return SlowHandshakeCaller.call(this.callerGroup, address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	}

}
