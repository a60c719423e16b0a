package org.lovagevale.core.message;

/**
 * Gives back a slot; see {@code SlotRelease}.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param number the question
 * @param server the server
 * @param outcome the name of its {@code SlotOutcome}
 * @param tookMs the time from sending to the outcome, in milliseconds
 * @param workMs how long such requests usually take, in milliseconds
 * @param running the requests that the server runs, negative if it did not tell
 * @param waiting the requests in its queue
 * @param slots its slots
 * @param slownessPercent how long work takes there, 100 being usual
 * @param fingerprint a hash of what the caller sent
 */
public record SlotReturned(long number, String server, String outcome, int tookMs, int workMs, int running, int waiting,
		int slots, int slownessPercent, long fingerprint) implements RegionMessage {
}
