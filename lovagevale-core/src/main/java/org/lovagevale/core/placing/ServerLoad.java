package org.lovagevale.core.placing;

/**
 * What a backend server tells of its load.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param running the requests that it runs
 * @param waiting the requests that wait in its queue
 * @param slots how many requests it can run at once
 * @param slownessPercent how long work takes there now, 100 being usual
 */
public record ServerLoad(int running, int waiting, int slots, int slownessPercent) {

	/** Nothing is known. */
	public static final ServerLoad UNKNOWN = new ServerLoad(-1, 0, 0, 100);

	/**
	 * Tells whether a server told this.
	 * @return {@code false} for {@link #UNKNOWN}
	 */
	public boolean isKnown() {
		return this.running >= 0;
	}

}
