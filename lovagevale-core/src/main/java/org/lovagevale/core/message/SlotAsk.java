package org.lovagevale.core.message;

import java.util.List;

/**
 * Requests a slot from a dispatcher; see {@code SlotRequest}.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param number the number of the slot request, unique among those of the sender
 * @param service the service
 * @param domain the failure domain of the sender
 * @param homes the regions in which the request may be served, empty for all
 * @param localOnly whether the request may only be placed in the region of the dispatcher
 * @param priority the rank of the request, where 0 is served first
 * @param large whether the response is large
 * @param purpose the name of the {@code SendPurpose}
 * @param workMs the usual duration of such requests in milliseconds
 * @param targetLeftMs the time left until the target latency is exceeded, in milliseconds
 * @param timeLeftMs the time left until the request times out, in milliseconds
 * @param tried the servers to which the request was already sent
 * @param fingerprint a hash of the request as sent by the caller
 * @param route the name of the route
 * @param bodyBytes the size of the request body in bytes
 * @param overflow the regions to which the request may be moved
 * @param hedgeable whether the request may be hedged while its first attempt runs
 */
public record SlotAsk(long number, String service, String domain, List<String> homes, boolean localOnly, int priority,
		boolean large, String purpose, int workMs, int targetLeftMs, int timeLeftMs, List<String> tried,
		long fingerprint, String route, int bodyBytes, List<String> overflow,
		boolean hedgeable) implements RegionMessage {
}
