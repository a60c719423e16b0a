package org.lovagevale.node.http;

import java.io.Closeable;
import java.util.List;
import java.util.function.Function;

import org.lovagevale.base.SystemClock;
import org.lovagevale.base.VmName;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.event.Event;
import org.lovagevale.node.metrics.NodeMetrics;
import org.lovagevale.node.wiring.Engine;
import reactor.netty.resources.LoopResources;

/**
 * The HTTP server and client of an entry process, driven by scripted decisions.
 */
final class HttpFixture implements Closeable {

	final ScriptedLogic logic;

	final NodeMetrics metrics = new NodeMetrics();

	final int port;

	private final LoopResources loops = LoopResources.create("test", 2, true);

	private final BackendHttpClients backendClients = new BackendHttpClients(this.loops);

	private final CallerServer server;

	final Engine engine;

	HttpFixture(int serverPort) throws HttpServerException {
		this(serverPort, (event) -> null);
	}

	HttpFixture(int serverPort, Function<Event, List<Decision>> rule) throws HttpServerException {
		this.logic = new ScriptedLogic(serverPort, rule);
		this.engine = new Engine(this.logic, this.metrics::countDecision, (decision) -> {
		});
		EntryExchangeContext context = new EntryExchangeContext(new VmName("entry-01"), new SystemClock(), this.engine,
				this.backendClients, this.metrics, () -> false);
		this.server = new CallerServer(context, this.loops, 0);
		this.port = this.server.listen("127.0.0.1", 0);
	}

	@Override
	public void close() {
		this.server.stopAccepting();
		this.backendClients.close();
		this.loops.dispose();
	}

}
