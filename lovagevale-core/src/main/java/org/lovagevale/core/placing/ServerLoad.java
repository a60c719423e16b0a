package org.lovagevale.core.placing;

/**
 * The load that a backend server reports.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param running the number of requests that it is executing
 * @param waiting the number of requests in its queue
 * @param slots the number of requests that it can execute at once
 * @param slownessPercent the current processing time in percent of the usual one
 */
public record ServerLoad(int running, int waiting, int slots, int slownessPercent) {

	/** Stands for a missing load report. */
	public static final ServerLoad UNKNOWN = new ServerLoad(-1, 0, 0, 100);

	/**
	 * Tells whether this load was reported by a server.
	 * @return {@code false} for {@link #UNKNOWN}
	 */
	public boolean isKnown() {
		return this.running >= 0;
	}

}
