package org.lovagevale.core.placing;

/**
 * The capacity of a service in a region.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param freeSlots the slots that are free
 * @param usedSlots the slots that are in use
 * @param queuedWorkMs the usual processing time of the queued requests, in milliseconds
 */
public record RegionCapacity(int freeSlots, int usedSlots, long queuedWorkMs) {

	private static final double MIN_FREE_SHARE = 0.25;

	/**
	 * Checks the figures.
	 * @throws IllegalArgumentException if one of them is negative
	 */
	public RegionCapacity {
		if (freeSlots < 0 || usedSlots < 0 || queuedWorkMs < 0) {
			throw new IllegalArgumentException("negative capacity");
		}
	}

	/**
	 * Tells whether requests wait or little capacity is left.
	 * @return {@code true} if other regions need recent figures
	 */
	public boolean isShort() {
		return this.queuedWorkMs > 0 || this.freeSlots < MIN_FREE_SHARE * slots();
	}

	int slots() {
		return this.freeSlots + this.usedSlots;
	}

}
