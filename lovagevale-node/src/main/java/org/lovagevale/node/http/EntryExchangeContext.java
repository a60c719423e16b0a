package org.lovagevale.node.http;

import java.util.function.BooleanSupplier;

import org.lovagevale.base.Clock;
import org.lovagevale.base.VmName;
import org.lovagevale.node.metrics.NodeMetrics;
import org.lovagevale.node.wiring.Engine;

/**
 * The objects that all requests from callers share.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the name of this VM
 * @param clock the clock
 * @param engine the decision logic
 * @param backendClients the HTTP clients for backend servers
 * @param metrics the metrics
 * @param leaving returns {@code true} if this VM is leaving and callers should close
 * their connections
 */
public record EntryExchangeContext(VmName vm, Clock clock, Engine engine, BackendHttpClients backendClients,
		NodeMetrics metrics, BooleanSupplier leaving) {
}
