package org.lovagevale.node.http;

import java.io.Closeable;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;

import io.netty.channel.EventLoopGroup;
import org.lovagevale.base.SystemClock;
import org.lovagevale.base.VmName;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.event.Event;
import org.lovagevale.node.metrics.NodeMetrics;
import org.lovagevale.node.wiring.Engine;
import reactor.netty.resources.LoopResources;

/**
 * The HTTP server and the HTTP clients of an entry process, with {@link ScriptedLogic} in
 * place of the decision logic.
 */
final class HttpFixture implements Closeable {

	private static final int LOOPS = 2;

	final ScriptedLogic logic;

	final NodeMetrics metrics = new NodeMetrics();

	final int callerPort;

	volatile boolean leaving;

	private final LoopResources loops = LoopResources.create("test", LOOPS, true);

	private final BackendHttpClients backendClients = new BackendHttpClients(this.loops);

	final CallerServer callerServer;

	final Engine engine;

	HttpFixture(int backendPort) throws HttpServerException {
		this(backendPort, (event) -> null);
	}

	/**
	 * Starts the HTTP server.
	 * @param backendPort the port of the backend server to which requests are sent by
	 * default
	 * @param rule returns the decisions for an event, or {@code null} for the default
	 * ones
	 * @throws HttpServerException if the server cannot listen
	 */
	HttpFixture(int backendPort, Function<Event, List<Decision>> rule) throws HttpServerException {
		this.logic = new ScriptedLogic(backendPort, rule);
		this.engine = new Engine(this.logic, this.metrics::countDecision, (decision) -> {
		});
		EntryExchangeContext context = new EntryExchangeContext(new VmName("entry-01"), new SystemClock(), this.engine,
				this.backendClients, this.metrics, () -> this.leaving);
		this.callerServer = new CallerServer(context, this.loops, 0);
		this.callerPort = this.callerServer.listen("127.0.0.1", 0);
	}

	/**
	 * Blocks all event loops.
	 * @param until the time at which they continue
	 */
	void blockLoops(CountDownLatch until) throws InterruptedException {
		EventLoopGroup group = this.loops.onServer(true);
		CountDownLatch blocked = new CountDownLatch(LOOPS);
		for (int i = 0; i < LOOPS; i++) {
			group.next().execute(() -> {
				blocked.countDown();
				awaitUninterruptibly(until);
			});
		}
		blocked.await();
	}

	private static void awaitUninterruptibly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() {
		this.callerServer.stopAccepting();
		this.backendClients.close();
		this.loops.dispose();
	}

}
