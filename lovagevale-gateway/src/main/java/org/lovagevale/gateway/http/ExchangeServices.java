package org.lovagevale.gateway.http;

import io.netty.channel.EventLoop;
import org.lovagevale.base.Clock;
import org.lovagevale.core.memory.MemoryAccount;
import org.lovagevale.core.placing.PlannedStop;
import org.lovagevale.core.placing.ServerAnnouncements;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.gateway.GatewayMetrics;
import org.lovagevale.gateway.GatewaySettings;
import org.lovagevale.gateway.ServerProtocol;
import org.lovagevale.gateway.fleet.CatalogUpdater;
import org.lovagevale.gateway.fleet.SlotClient;

/**
 * The components shared by all exchanges.
 *
 * <p>
 * Confined to the event loop.
 *
 * @param loop the event loop
 * @param clock the clock
 * @param settings the settings of this process
 * @param catalog the known routes and servers
 * @param slots obtains slots at servers for requests
 * @param relay finds entry VMs of other regions
 * @param connectionPool the pool of connections to servers
 * @param protocol reads and writes the headers of requests and responses
 * @param estimates the estimated durations of requests
 * @param metrics the metrics of this process
 * @param roster the known entry VMs
 * @param plannedStop the planned stop of this process
 * @param announcements the announcements of servers to this process
 * @param readDelay the delay with which received data is read
 * @param memory the account of the bytes held for requests
 * @param responseMemory the account of the bytes held for responses
 * @param scheduler runs what does not fit into one turn of the event loop
 */
public record ExchangeServices(EventLoop loop, Clock clock, GatewaySettings settings, CatalogUpdater catalog,
		SlotClient slots, RegionRelay relay, BackendConnectionPool connectionPool, ServerProtocol protocol,
		WorkEstimates estimates, GatewayMetrics metrics, Roster roster, PlannedStop plannedStop,
		ServerAnnouncements announcements, ReadDelay readDelay, MemoryAccount memory, MemoryAccount responseMemory,
		TurnScheduler scheduler) {
}
