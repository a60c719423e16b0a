package org.lovagevale.core.placing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.RandomSource;

/**
 * Tells rejected callers when to come back, and recognizes those that do.
 *
 * <p>
 * Answers callers that are rejected together in a burst and would all return at the same
 * time: the times are spread so that the returning requests of a kind need half of what
 * the kind gets. Invariant: a rejection is remembered once and recognized once. Not
 * thread-safe.
 */
final class ReturnSchedule {

	/** Lower bound of the retry delay, in milliseconds. */
	static final int MIN_DELAY_MS = 150;

	/** Time for which room is kept for returning requests, in milliseconds. */
	static final long MAX_PLANNED_MS = 3_000;

	/**
	 * Maximum random addition to the delay of callers for which no room can be kept, in
	 * milliseconds.
	 */
	static final int UNPLANNED_SPREAD_MS = 2_000;

	/** Share of the work granted to a kind that is planned for returning requests. */
	private static final double RETURN_SHARE = 0.5;

	/**
	 * Time before the planned one from which a request counts as returned, in
	 * milliseconds. Delays are stated to callers in milliseconds, and clocks differ.
	 */
	private static final long EARLY_MS = 20;

	/** Time after the planned one until which a request counts as returned. */
	private static final long LATE_MS = 1_000;

	/**
	 * Time after the planned one for which its room is kept, in milliseconds. Callers are
	 * a few milliseconds away.
	 */
	private static final long ROOM_KEPT_MS = 100;

	/** Time ahead for which planned returns count as queued, in milliseconds. */
	private static final long ROOM_AHEAD_MS = 100;

	private static final int MAX_REMEMBERED = 4_096;

	/** Granted work that is assumed at least, in processing time per time. */
	private static final double MIN_WORK_RATE = 0.2;

	/**
	 * Number of planned returns over which the share of callers that return is averaged.
	 */
	private static final double SMOOTHING_RETURNS = 50;

	private final RandomSource random;

	private final Map<Long, Rejected> rejected = new LinkedHashMap<>();

	private final TreeSet<Rejected> planned = new TreeSet<>(
			Comparator.comparingLong(Rejected::dueAt).thenComparingLong(Rejected::fingerprint));

	/** The time from which room is left, by route. */
	private final Map<String, Double> nextFreeAt = new HashMap<>();

	/**
	 * Share of the callers with planned room that return. Callers may give up, and room
	 * that is kept in vain is lost to new requests.
	 */
	private double returningShare;

	/**
	 * Creates an empty schedule.
	 * @param random spreads the returns for which no room can be kept
	 */
	ReturnSchedule(RandomSource random) {
		this.random = random;
	}

	/**
	 * Plans the return of a rejected request.
	 * @param request the request
	 * @param minDelayMs the time until it could be served, in milliseconds
	 * @param workRate the work granted to its kind, in processing time per time
	 * @param now the monotonic time in milliseconds
	 * @return the retry delay in milliseconds
	 */
	int plan(SlotRequest request, int minDelayMs, double workRate, long now) {
		int minMs = Math.max(MIN_DELAY_MS, minDelayMs);
		double dueAt = Math.max(now + minMs, this.nextFreeAt.getOrDefault(request.route(), 0.0));
		boolean hasRoom = dueAt <= now + Math.max(MAX_PLANNED_MS, minMs);
		if (hasRoom) {
			this.nextFreeAt.put(request.route(),
					dueAt + request.workMs() / (Math.max(MIN_WORK_RATE, workRate) * RETURN_SHARE));
		}
		else {
			dueAt = now + MAX_PLANNED_MS + this.random.nextInt(UNPLANNED_SPREAD_MS);
		}
		remember(new Rejected((long) Math.ceil(dueAt), request.fingerprint(), request.route(), request.priority(),
				request.workMs(), hasRoom));
		return (int) (Math.ceil(dueAt) - now);
	}

	private void remember(Rejected next) {
		forget(this.rejected.remove(next.fingerprint()));
		if (this.rejected.size() >= MAX_REMEMBERED) {
			Iterator<Rejected> oldest = this.rejected.values().iterator();
			forget(oldest.next());
			oldest.remove();
		}
		this.rejected.put(next.fingerprint(), next);
		if (next.hasRoom()) {
			this.planned.add(next);
		}
	}

	private void forget(@Nullable Rejected old) {
		if (old != null) {
			this.planned.remove(old);
		}
	}

	/**
	 * Recognizes a request whose caller was rejected before and returns as it was told.
	 * @param request the request
	 * @param now the monotonic time in milliseconds
	 * @return whether it is such a request
	 */
	CallerReturn takeReturned(SlotRequest request, long now) {
		Rejected known = this.rejected.get(request.fingerprint());
		if (known == null || now < known.dueAt() - EARLY_MS) {
			return CallerReturn.NONE;
		}
		this.rejected.remove(known.fingerprint());
		if (this.planned.remove(known)) {
			recordReturn(true);
		}
		if (now > known.dueAt() + LATE_MS) {
			return CallerReturn.NONE;
		}
		return known.hasRoom() ? CallerReturn.PLANNED : CallerReturn.UNPLANNED;
	}

	/**
	 * Returns the work that is about to return and is served before a new request.
	 * @param priority the priority of the new request
	 * @param now the monotonic time in milliseconds
	 * @return the sum of the usual processing times in milliseconds
	 */
	long plannedWorkMs(int priority, long now) {
		dropPast(now);
		long work = 0;
		for (Rejected next : this.planned) {
			if (next.dueAt() > now + ROOM_AHEAD_MS) {
				break;
			}
			work += (next.priority() <= priority) ? next.workMs() : 0;
		}
		return (long) (work * this.returningShare);
	}

	private void recordReturn(boolean returned) {
		this.returningShare += ((returned ? 1 : 0) - this.returningShare) / SMOOTHING_RETURNS;
	}

	private void dropPast(long now) {
		while (!this.planned.isEmpty() && this.planned.first().dueAt() < now - ROOM_KEPT_MS) {
			this.planned.removeFirst();
			recordReturn(false);
		}
	}

	/**
	 * A rejected request.
	 *
	 * @param dueAt the monotonic time at which it was told to return, in milliseconds
	 * @param fingerprint the hash of the request
	 * @param route the name of its route
	 * @param priority its priority
	 * @param workMs its usual processing time in milliseconds
	 * @param hasRoom whether room is kept for it
	 */
	private record Rejected(long dueAt, long fingerprint, String route, int priority, int workMs, boolean hasRoom) {
	}

}
