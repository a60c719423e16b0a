package org.lovagevale.core.message;

import java.util.List;

/**
 * Asks a dispatcher for a slot; see {@code SlotRequest}.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param number identifies the question among those of the sender
 * @param service the service
 * @param domain the failure domain of the sender
 * @param homes the regions in which the request may be served
 * @param localOnly whether it is placed in the region of the dispatcher only
 * @param priority its rank
 * @param large whether its response is large
 * @param purpose the name of its {@code SendPurpose}
 * @param workMs how long such requests usually take, in milliseconds
 * @param targetLeftMs the time left for a response of full value, in milliseconds
 * @param timeLeftMs the time left for any response, in milliseconds
 * @param tried the servers it was sent to
 * @param fingerprint a hash of what the caller sent
 */
public record SlotAsk(long number, String service, String domain, List<String> homes, boolean localOnly, int priority,
		boolean large, String purpose, int workMs, int targetLeftMs, int timeLeftMs, List<String> tried,
		long fingerprint) implements RegionMessage {
}
