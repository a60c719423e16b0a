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
 * The HTTP server and the HTTP clients of an entry process, with {@link ScriptedLogic} in
 * place of the decision logic.
 */
final class HttpFixture implements Closeable {

	final ScriptedLogic logic;

	final NodeMetrics metrics = new NodeMetrics();

	final int callerPort;

	private final LoopResources loops = LoopResources.create("test", 2, true);

	private final BackendHttpClients backendClients = new BackendHttpClients(this.loops);

	private final CallerServer callerServer;

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
				this.backendClients, this.metrics, () -> false);
		this.callerServer = new CallerServer(context, this.loops, 0);
		this.callerPort = this.callerServer.listen("127.0.0.1", 0);
	}

	@Override
	public void close() {
		this.callerServer.stopAccepting();
		this.backendClients.close();
		this.loops.dispose();
	}

}
