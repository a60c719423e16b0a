package org.lovagevale.core.placing;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.VmName;
import org.lovagevale.core.message.CrashStrikeEntry;
import org.lovagevale.core.message.CrashSuspectEntry;

/**
 * The requests that are suspected of crashing the servers that execute them, as known to
 * this process.
 *
 * <p>
 * A connection that is lost before the response is a strike against the request. From
 * {@link #STRIKES_TO_QUARANTINE} strikes on the request is refused, except for single
 * trials at times that lie further and further apart; after {@link #MAX_STRIKES_TO_TRY}
 * strikes there are none. A trial counts as a strike from its beginning until its outcome
 * shows that it is none, so that no second one begins meanwhile. A response clears all
 * strikes that are known then.
 *
 * <p>
 * Tables of several processes that exchange their strikes, in any order and any number of
 * times, come to the same result. Invariant: there are at most {@link #MAX_SUSPECTS}
 * suspects; those with the fewest and oldest strikes are forgotten first. Not
 * thread-safe.
 */
public final class CrashSuspects {

	/** Number of strikes from which a request is quarantined. */
	public static final int STRIKES_TO_QUARANTINE = 2;

	/** Number of strikes from which a request is never tried. */
	public static final int MAX_STRIKES_TO_TRY = 6;

	/**
	 * Time from the strike that leads to quarantine to the first trial, in milliseconds.
	 */
	static final long QUARANTINE_MS = 60_000;

	/** Factor by which each further strike prolongs the quarantine. */
	private static final long QUARANTINE_FACTOR = 10;

	/**
	 * Interval in which it is the turn of one region to try a request, in milliseconds,
	 * much longer than a message between regions takes.
	 */
	static final long TRIAL_INTERVAL_MS = 2_000;

	/** Retry delay of a request that is never tried, in milliseconds. */
	static final int NEVER_TRIED_RETRY_MS = 3_600_000;

	/** Maximum number of suspects. */
	static final int MAX_SUSPECTS = 2_000;

	/**
	 * Time for which a request without strikes is remembered, in milliseconds, so that
	 * processes with an older state learn that its strikes are cleared.
	 */
	static final long CLEARED_RETENTION_MS = 60_000;

	/** Maximum number of trials whose outcome is awaited. */
	private static final int MAX_TRIALS = 1_000;

	private final TrialOrder order;

	private final Set<Long> released;

	private final long createdAt;

	/** The suspects by the order of their last changes. */
	private final LinkedHashMap<Long, CrashSuspect> byFingerprint = new LinkedHashMap<>();

	/** The running trials with the fingerprints of their requests. */
	private final Map<SlotId, Long> trials = new LinkedHashMap<>();

	/** The requests that changed here and were not taken by the caller yet. */
	private final Set<Long> ownChanges = new LinkedHashSet<>();

	private long version;

	private long trialCount;

	/**
	 * Creates an empty table.
	 * @param order the order of the regions in which a request may be tried
	 * @param released the fingerprints of requests whose strikes from before {@code now}
	 * are to be cleared
	 * @param now the monotonic time in milliseconds
	 */
	public CrashSuspects(TrialOrder order, Set<Long> released, long now) {
		this.order = order;
		this.released = Set.copyOf(released);
		this.createdAt = now;
	}

	/**
	 * Returns the time after which a request may be sent.
	 * @param fingerprint the fingerprint of the request
	 * @param mayTry whether this process may try quarantined requests
	 * @param now the monotonic time in milliseconds
	 * @return 0 if it may be sent now, otherwise a retry delay in milliseconds
	 */
	public int quarantineLeftMs(long fingerprint, boolean mayTry, long now) {
		CrashSuspect suspect = this.byFingerprint.get(fingerprint);
		if (suspect == null || !isQuarantined(fingerprint)) {
			return 0;
		}
		int count = suspect.count();
		if (count >= MAX_STRIKES_TO_TRY) {
			return NEVER_TRIED_RETRY_MS;
		}
		long quarantineMs = QUARANTINE_MS;
		for (int i = STRIKES_TO_QUARANTINE; i < count; i++) {
			quarantineMs *= QUARANTINE_FACTOR;
		}
		long leftMs = trialLeftMs(this.order.turn(fingerprint), now - suspect.lastAt() - quarantineMs);
		if (leftMs == 0) {
			return mayTry ? 0 : (int) TRIAL_INTERVAL_MS;
		}
		return (int) Math.min(leftMs, NEVER_TRIED_RETRY_MS);
	}

	// In the second half of its interval a region begins no trial, so that the next one
	// knows of each that was begun.
	private static long trialLeftMs(TrialOrder.Turn turn, long sinceQuarantineMs) {
		long beginMs = turn.before() * TRIAL_INTERVAL_MS;
		if (sinceQuarantineMs < 0) {
			return beginMs - sinceQuarantineMs;
		}
		if (turn.regions() == 1) {
			return 0;
		}
		long cycleMs = turn.regions() * TRIAL_INTERVAL_MS;
		long sinceBeginMs = Math.floorMod(sinceQuarantineMs - beginMs, cycleMs);
		return (sinceBeginMs < TRIAL_INTERVAL_MS / 2) ? 0 : cycleMs - sinceBeginMs;
	}

	/**
	 * Records that a request is about to be sent, which is a trial if it is quarantined.
	 * @param fingerprint the fingerprint of the request
	 * @param id the slot request
	 * @param now the monotonic time in milliseconds
	 * @return whether it is a trial
	 */
	public boolean recordSend(long fingerprint, SlotId id, long now) {
		if (!isQuarantined(fingerprint)) {
			return false;
		}
		this.trialCount++;
		this.trials.put(id, fingerprint);
		if (this.trials.size() > MAX_TRIALS) {
			this.trials.remove(this.trials.keySet().iterator().next());
		}
		strike(fingerprint, id, now);
		return true;
	}

	/**
	 * Records the outcome of a request on a server.
	 * @param fingerprint the fingerprint of the request; ignored if it was not sent
	 * @param id the slot request
	 * @param outcome the outcome
	 * @param now the monotonic time in milliseconds
	 */
	public void recordOutcome(long fingerprint, SlotId id, SlotOutcome outcome, long now) {
		Long tried = this.trials.remove(id);
		switch (outcome) {
			case LOST -> strike(fingerprint, id, now);
			case SERVED -> {
				CrashSuspect suspect = this.byFingerprint.get(fingerprint);
				if (suspect != null && suspect.clearAll()) {
					recordChange(suspect, SuspectSource.LOCAL, now);
				}
			}
			case NOT_EXECUTED, REPLACED, UNREACHABLE, UNUSED -> {
				CrashSuspect suspect = (tried != null) ? this.byFingerprint.get(tried) : null;
				if (suspect != null && suspect.clear(id)) {
					recordChange(suspect, SuspectSource.LOCAL, now);
				}
			}
			// The server may still be executing the request, or have ended after a part
			// of the response.
			case FAILED, ABANDONED -> {
			}
		}
	}

	private void strike(long fingerprint, SlotId id, long now) {
		merge(fingerprint, List.of(new CrashStrike(id, now, false)), SuspectSource.LOCAL, now);
	}

	/**
	 * Adds the strikes that another process knows.
	 * @param entry the suspect
	 * @param source where it was learned
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if any of them was not known
	 * @throws IllegalArgumentException if a value in the entry is invalid
	 */
	public boolean merge(CrashSuspectEntry entry, SuspectSource source, long now) {
		if (entry.strikes().size() > CrashSuspect.MAX_STRIKES) {
			throw new IllegalArgumentException("suspect has " + entry.strikes().size() + " strikes, at most "
					+ CrashSuspect.MAX_STRIKES + " are allowed");
		}
		return merge(entry.fingerprint(), entry.strikes().stream().map((strike) -> toStrike(strike, now)).toList(),
				source, now);
	}

	private static CrashStrike toStrike(CrashStrikeEntry entry, long now) {
		if (entry.ageMs() < 0 || entry.ageMs() > Long.MAX_VALUE / 4) {
			throw new IllegalArgumentException("strike has an age of " + entry.ageMs() + " ms");
		}
		return new CrashStrike(new SlotId(new VmName(entry.vm()), entry.number()), now - entry.ageMs(),
				entry.cleared());
	}

	private boolean merge(long fingerprint, Collection<CrashStrike> strikes, SuspectSource source, long now) {
		CrashSuspect known = this.byFingerprint.get(fingerprint);
		CrashSuspect suspect = (known != null) ? known : new CrashSuspect(fingerprint);
		boolean changed = false;
		boolean releasedHere = false;
		for (CrashStrike strike : strikes) {
			changed |= suspect.merge(strike);
			if (strike.at() < this.createdAt && this.released.contains(fingerprint)) {
				releasedHere |= suspect.clear(strike.id());
			}
		}
		if (!changed || known == null && !makeRoom(suspect)) {
			return false;
		}
		recordChange(suspect, source, now);
		if (releasedHere) {
			recordChange(suspect, SuspectSource.LOCAL, now);
		}
		return true;
	}

	private boolean makeRoom(CrashSuspect added) {
		if (this.byFingerprint.size() < MAX_SUSPECTS) {
			return true;
		}
		CrashSuspect least = this.byFingerprint.values().stream().min(leastDangerous()).orElseThrow();
		if (leastDangerous().compare(added, least) <= 0) {
			return false;
		}
		this.byFingerprint.remove(least.fingerprint());
		return true;
	}

	private static Comparator<CrashSuspect> leastDangerous() {
		return Comparator.comparingInt(CrashSuspect::count).thenComparingLong(CrashSuspect::lastAt);
	}

	private void recordChange(CrashSuspect suspect, SuspectSource source, long now) {
		suspect.recordChange(source, ++this.version, now);
		this.byFingerprint.putLast(suspect.fingerprint(), suspect);
		if (source == SuspectSource.LOCAL) {
			this.ownChanges.add(suspect.fingerprint());
		}
	}

	/**
	 * Returns the requests whose strikes this process changed since the last call.
	 * @return the fingerprints of the requests
	 */
	public List<Long> takeOwnChanges() {
		List<Long> taken = List.copyOf(this.ownChanges);
		this.ownChanges.clear();
		return taken;
	}

	/**
	 * Forgets the requests whose strikes were cleared some time ago. To be called
	 * periodically.
	 * @param now the monotonic time in milliseconds
	 */
	public void removeCleared(long now) {
		this.byFingerprint.values()
			.removeIf((suspect) -> suspect.count() == 0 && now - suspect.changedAt() > CLEARED_RETENTION_MS);
	}

	/**
	 * Tells whether a request has a strike, so that it may have crashed a server.
	 * @param fingerprint the fingerprint of the request
	 * @return {@code true} if there is a strike
	 */
	public boolean isSuspect(long fingerprint) {
		return strikes(fingerprint) > 0;
	}

	/**
	 * Tells whether a request has so many strikes that it is refused or tried.
	 * @param fingerprint the fingerprint of the request
	 * @return {@code true} if it is quarantined
	 */
	public boolean isQuarantined(long fingerprint) {
		return strikes(fingerprint) >= STRIKES_TO_QUARANTINE;
	}

	/**
	 * Returns the number of strikes of a request.
	 * @param fingerprint the fingerprint of the request
	 * @return the number of strikes that are not cleared
	 */
	public int strikes(long fingerprint) {
		CrashSuspect suspect = this.byFingerprint.get(fingerprint);
		return (suspect != null) ? suspect.count() : 0;
	}

	/**
	 * Returns the VM that sent the request of the last strike.
	 * @param fingerprint the fingerprint of the request
	 * @return the VM, or {@code null} if there is no strike
	 */
	public @Nullable VmName lastStrikeOf(long fingerprint) {
		CrashSuspect suspect = this.byFingerprint.get(fingerprint);
		SlotId id = (suspect != null) ? suspect.lastStrikeId() : null;
		return (id != null) ? id.vm() : null;
	}

	/**
	 * Returns the number of known requests, with or without strikes.
	 * @return the number of requests
	 */
	public int size() {
		return this.byFingerprint.size();
	}

	/**
	 * Counts the quarantined requests.
	 * @return the number of requests
	 */
	public long quarantined() {
		return this.byFingerprint.values()
			.stream()
			.filter((suspect) -> suspect.count() >= STRIKES_TO_QUARANTINE)
			.count();
	}

	/**
	 * Returns the number of trials of quarantined requests that this process began.
	 * @return the number of trials
	 */
	public long trialCount() {
		return this.trialCount;
	}

	/**
	 * Returns the number of changes.
	 * @return the number of changes
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the suspects that changed after a version of this table.
	 * @param since the version
	 * @return the suspects, the last change first
	 */
	Stream<CrashSuspect> changedSince(long since) {
		return this.byFingerprint.sequencedValues()
			.reversed()
			.stream()
			.takeWhile((suspect) -> suspect.lastChange() > since);
	}

}
