package org.lovagevale.gateway.http;

import io.netty.channel.EventLoop;
import org.lovagevale.base.Clock;
import org.lovagevale.gateway.GatewayMetrics;
import org.lovagevale.gateway.GatewaySettings;
import org.lovagevale.gateway.ServerProtocol;
import org.lovagevale.gateway.fleet.CatalogUpdater;
import org.lovagevale.gateway.fleet.SlotClient;

/**
 * What every request needs.
 *
 * <p>
 * Confined to the event loop.
 *
 * @param loop the event loop
 * @param clock the clock
 * @param settings the settings of this process
 * @param catalog the routes and servers
 * @param slots gives servers to requests
 * @param relay finds entry VMs of other regions
 * @param connections the connections to servers
 * @param protocol reads and writes headers
 * @param estimates how long requests take
 * @param metrics counts what happens
 */
public record ExchangeServices(EventLoop loop, Clock clock, GatewaySettings settings, CatalogUpdater catalog,
		SlotClient slots, RegionRelay relay, BackendConnections connections, ServerProtocol protocol,
		WorkEstimates estimates, GatewayMetrics metrics) {
}
