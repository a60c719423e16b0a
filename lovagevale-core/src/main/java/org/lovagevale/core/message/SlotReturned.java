package org.lovagevale.core.message;

/**
 * Releases a slot; see {@code SlotRelease}.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param number the number of the slot request
 * @param server the name of the backend server
 * @param outcome the name of the {@code SlotOutcome}
 * @param tookMs the time from sending the request to its outcome, in milliseconds
 * @param workMs the usual duration of such requests in milliseconds
 * @param running the number of requests that the server runs, negative if it reported no
 * load
 * @param waiting the number of requests in the queue of the server
 * @param slots the number of slots of the server
 * @param slownessPercent the duration of requests on the server in percent of the usual
 * duration
 * @param fingerprint a hash of the request as sent by the caller
 */
public record SlotReturned(long number, String server, String outcome, int tookMs, int workMs, int running, int waiting,
		int slots, int slownessPercent, long fingerprint) implements RegionMessage {
}
