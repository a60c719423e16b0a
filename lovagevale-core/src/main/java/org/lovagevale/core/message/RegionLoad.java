package org.lovagevale.core.message;

/**
 * Reports the capacity and the load of a service in a region to the dispatcher of the
 * service in another region.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param region the region that is described
 * @param service the service
 * @param freeSlots the slots that are free
 * @param usedSlots the slots that are in use
 * @param queuedWorkMs the usual processing time of the queued requests, in milliseconds
 * @param ageMs the age of the figures, in milliseconds
 */
public record RegionLoad(String region, String service, int freeSlots, int usedSlots, long queuedWorkMs,
		long ageMs) implements RegionMessage {
}
