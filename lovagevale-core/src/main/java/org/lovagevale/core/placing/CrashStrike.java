package org.lovagevale.core.placing;

/**
 * A connection to a server that was lost while a request ran there, or a trial of a
 * quarantined request whose outcome is not known.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the slot request, which identifies the strike in all regions
 * @param at the monotonic time of the strike, in milliseconds
 * @param cleared whether the strike no longer counts
 */
record CrashStrike(SlotId id, long at, boolean cleared) {

	CrashStrike clear() {
		return new CrashStrike(this.id, this.at, true);
	}

	/**
	 * Combines two reports of the same strike. The earlier time is the more exact one, as
	 * each message adds its delay.
	 * @param other the other report
	 * @return the combination, the same in either order
	 */
	CrashStrike merge(CrashStrike other) {
		return new CrashStrike(this.id, Math.min(this.at, other.at), this.cleared || other.cleared);
	}

}
