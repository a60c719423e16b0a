package org.lovagevale.core.placing;

import org.lovagevale.base.ServerName;

/**
 * Releases a slot and reports the outcome of its request.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the slot request that the slot was granted to
 * @param server the server
 * @param outcome the outcome of the request on the server
 * @param tookMs the time from sending to the outcome, in milliseconds
 * @param workMs the usual processing time of such requests, in milliseconds
 * @param load the load reported with the response
 * @param fingerprint a hash of the request as sent by the caller
 */
public record SlotRelease(SlotId id, ServerName server, SlotOutcome outcome, int tookMs, int workMs, ServerLoad load,
		long fingerprint) {
}
