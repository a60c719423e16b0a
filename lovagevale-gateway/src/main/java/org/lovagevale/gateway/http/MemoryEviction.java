package org.lovagevale.gateway.http;

import org.lovagevale.base.LogLine;
import org.lovagevale.core.memory.MemoryAccount;
import org.lovagevale.gateway.GatewayMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Evicts what is in excess of an account, and reports it.
 *
 * <p>
 * Confined to the event loop.
 */
final class MemoryEviction {

	private static final Logger LOGGER = LoggerFactory.getLogger(MemoryEviction.class);

	private MemoryEviction() {
	}

	/**
	 * Has the connections that hold the most give it up, if the account is full.
	 * @param name the name of the account
	 * @param account the account
	 * @param metrics counts what was given up
	 */
	static void evictExcess(String name, MemoryAccount account, GatewayMetrics metrics) {
		int evicted = account.evictExcess();
		if (evicted > 0) {
			metrics.countEvictions(name, evicted);
			LOGGER.warn("{}",
					LogLine.event("memory.full")
						.with("account", name)
						.with("evicted", evicted)
						.with("heldBytes", account.heldBytes()));
		}
	}

}
