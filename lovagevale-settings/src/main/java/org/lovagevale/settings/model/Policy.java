package org.lovagevale.settings.model;

import java.util.Set;

import org.lovagevale.base.Region;

/**
 * The effective policy of a service or a route.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param timeoutMs the longest time for a request in milliseconds, positive
 * @param maxRequestBytes the largest request body in bytes
 * @param idleTimeoutMs the longest time without data on a connection with a request in
 * progress, in milliseconds
 * @param priority the priority under overload
 * @param queueMs the longest wait for a backend server in milliseconds, 0 for no wait
 * @param queueLength the maximum number of requests of a service that wait in one process
 * @param retryPercent the retry budget in percent of requests, 0 for no retries
 * @param hedgeAfterMs the delay before a hedged request in milliseconds, 0 for no hedged
 * requests
 * @param keyRequired whether a request that is not idempotent must carry an idempotency
 * key
 * @param homeRegions the only regions that may serve requests, empty for all
 * @param slots requests that one backend server runs at a time
 * @param connections connections that one backend server accepts from all entry VMs
 * together
 * @param coldConcurrency requests at a time that a backend server in a cold start can
 * handle
 * @param warmAfterAnswers successful responses after which a backend server that reports
 * no state is warm
 * @param ejectMaxPercent the largest share of backend servers ejected because of bad
 * outcomes, in percent
 */
public record Policy(long timeoutMs, long maxRequestBytes, long idleTimeoutMs, Priority priority, long queueMs,
		int queueLength, int retryPercent, long hedgeAfterMs, boolean keyRequired, Set<Region> homeRegions, int slots,
		int connections, int coldConcurrency, int warmAfterAnswers, int ejectMaxPercent) {

	/**
	 * Copies the set.
	 */
	public Policy {
		homeRegions = Set.copyOf(homeRegions);
	}

}
