package org.lovagevale.core.placing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * The strikes of one request, from all regions.
 *
 * <p>
 * Invariants: a strike is counted once, however often it is reported; a cleared strike
 * never counts again; there are at most {@link #MAX_STRIKES} strikes. Not thread-safe.
 */
final class CrashSuspect {

	/** Maximum number of strikes; more make no difference. */
	static final int MAX_STRIKES = 8;

	/** A time that can be subtracted from any other without overflow. */
	private static final long LONG_AGO = Long.MIN_VALUE / 2;

	private final long fingerprint;

	private final Map<SlotId, CrashStrike> strikes = new HashMap<>();

	/** The version of the table at the last change, by its source. */
	private final long[] changedIn = new long[SuspectSource.values().length];

	private long lastChange;

	private long changedAt;

	private int count;

	private long lastAt = LONG_AGO;

	CrashSuspect(long fingerprint) {
		this.fingerprint = fingerprint;
	}

	long fingerprint() {
		return this.fingerprint;
	}

	/**
	 * Returns the number of strikes that are not cleared.
	 * @return the number of strikes
	 */
	int count() {
		return this.count;
	}

	/**
	 * Returns the time of the last strike that is not cleared.
	 * @return the monotonic time in milliseconds, far in the past if there is none
	 */
	long lastAt() {
		return this.lastAt;
	}

	private void put(CrashStrike strike) {
		this.strikes.put(strike.id(), strike);
		this.count = 0;
		this.lastAt = LONG_AGO;
		for (CrashStrike each : this.strikes.values()) {
			if (!each.cleared()) {
				this.count++;
				this.lastAt = Math.max(this.lastAt, each.at());
			}
		}
	}

	Collection<CrashStrike> strikes() {
		return List.copyOf(this.strikes.values());
	}

	/**
	 * Adds a strike or a report of one.
	 * @param strike the strike
	 * @return {@code true} if this was not known
	 */
	boolean merge(CrashStrike strike) {
		CrashStrike known = this.strikes.get(strike.id());
		if (known == null && !makeRoom(strike)) {
			return false;
		}
		CrashStrike merged = (known != null) ? known.merge(strike) : strike;
		put(merged);
		return known == null || known.cleared() != merged.cleared();
	}

	// A strike that counts takes the place of a cleared one.
	private boolean makeRoom(CrashStrike strike) {
		if (this.strikes.size() < MAX_STRIKES) {
			return true;
		}
		CrashStrike cleared = this.strikes.values().stream().filter(CrashStrike::cleared).findFirst().orElse(null);
		if (cleared == null || strike.cleared()) {
			return false;
		}
		this.strikes.remove(cleared.id());
		return true;
	}

	/**
	 * Clears a strike.
	 * @param id the slot request
	 * @return {@code true} if it counted until now
	 */
	boolean clear(SlotId id) {
		CrashStrike known = this.strikes.get(id);
		if (known == null || known.cleared()) {
			return false;
		}
		put(known.clear());
		return true;
	}

	/**
	 * Clears all known strikes.
	 * @return {@code true} if any counted until now
	 */
	boolean clearAll() {
		boolean changed = this.count > 0;
		strikes().forEach((strike) -> put(strike.clear()));
		return changed;
	}

	void recordChange(SuspectSource source, long version, long now) {
		this.changedIn[source.ordinal()] = version;
		this.lastChange = version;
		this.changedAt = now;
	}

	long changedIn(SuspectSource source) {
		return this.changedIn[source.ordinal()];
	}

	/**
	 * Returns the version of the table at the last change from any source.
	 * @return the version
	 */
	long lastChange() {
		return this.lastChange;
	}

	long changedAt() {
		return this.changedAt;
	}

	@Nullable SlotId lastStrikeId() {
		return this.strikes.values()
			.stream()
			.filter((strike) -> !strike.cleared() && strike.at() == this.lastAt)
			.map(CrashStrike::id)
			.findFirst()
			.orElse(null);
	}

}
