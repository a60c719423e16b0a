package org.lovagevale.core.placing;

import org.lovagevale.base.ServerName;

/**
 * Gives back a slot.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the question that the slot was given to
 * @param server the server
 * @param outcome what became of the request there
 * @param tookMs the time from sending to the outcome, in milliseconds
 * @param workMs how long such requests usually take, in milliseconds
 * @param load what the server told with its response
 * @param fingerprint a hash of what the caller sent
 */
public record SlotRelease(SlotId id, ServerName server, SlotOutcome outcome, int tookMs, int workMs, ServerLoad load,
		long fingerprint) {
}
