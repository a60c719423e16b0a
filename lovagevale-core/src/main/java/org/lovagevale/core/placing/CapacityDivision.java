package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which kinds of requests may be queued while a service has fewer slots than its
 * requests need.
 *
 * <p>
 * Answers a burst of one kind: the order of the queue alone would starve the less urgent
 * kinds during a burst of an urgent one, and the admission by expected wait alone would
 * prefer the kinds with a long target latency. A kind is the requests of one route and
 * priority. The capacity is what was granted recently, so that slow periods of the
 * servers count. Not thread-safe.
 */
final class CapacityDivision {

	/** Capacity that is assumed at least, in processing time per time. */
	private static final double MIN_CAPACITY = 0.1;

	/**
	 * Part of its demand by which a kind must be short before requests of other kinds are
	 * refused for it.
	 */
	private static final double TOLERANCE = 0.02;

	/** Part of the demand of a kind from which it counts as the whole. */
	private static final double WHOLE_SHARE = 0.99;

	/** Time without a request after which a kind is forgotten, in milliseconds. */
	private static final long FORGET_MS = 60_000;

	/** Number of kinds from which those without recent requests are removed. */
	private static final int MAX_KINDS = 64;

	private final Map<Kind, KindLoad> kinds = new HashMap<>();

	void recordRequest(SlotRequest request, long now) {
		kind(request, now).recordRequest(request, now);
	}

	void recordGrant(SlotRequest request, long now) {
		kind(request, now).recordGrant(request, now);
	}

	private KindLoad kind(SlotRequest request, long now) {
		Kind kind = new Kind(request.route(), request.priority());
		if (this.kinds.size() >= MAX_KINDS && !this.kinds.containsKey(kind)) {
			this.kinds.values().removeIf((load) -> now - load.requestedAt() > FORGET_MS);
		}
		return this.kinds.computeIfAbsent(kind, (added) -> new KindLoad(now));
	}

	/**
	 * Tells whether the kind of a request has got its part of the capacity while another
	 * kind has not.
	 * @param request the request
	 * @param slots the number of slots of the servers that it may use
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if the request has to leave the capacity to other kinds
	 */
	boolean hasItsPart(SlotRequest request, int slots, long now) {
		KindLoad own = kind(request, now);
		List<KindLoad> loads = new ArrayList<>(this.kinds.values());
		List<CapacityParts.Part> parts = divide(loads, slots, now);
		CapacityParts.Part part = parts.get(loads.indexOf(own));
		// A kind with its whole demand may exceed it by the noise of the averages.
		return part.share() < WHOLE_SHARE && own.granted(now) > part.granted() && isAnyShort(loads, parts, now);
	}

	/**
	 * Estimates how long a request waits. Requests of a higher priority that arrive while
	 * it waits are served before it.
	 * @param request the request
	 * @param workAheadMs the usual processing times of the requests queued ahead of it,
	 * in milliseconds
	 * @param slots the number of slots of the servers that it may use
	 * @param now the monotonic time in milliseconds
	 * @return the wait in milliseconds
	 */
	double expectedWaitMs(SlotRequest request, long workAheadMs, int slots, long now) {
		double capacity = 0;
		double moreUrgent = 0;
		for (KindLoad load : this.kinds.values()) {
			double granted = load.granted(now);
			capacity += granted;
			moreUrgent += (load.priority() < request.priority()) ? granted : 0;
		}
		double left = capacity(capacity, slots) - moreUrgent;
		return (workAheadMs + request.workMs()) / Math.max(left, MIN_CAPACITY);
	}

	// While requests wait only for a server that is slow at the moment, the granted work
	// is less than the capacity.
	private static double capacity(double granted, int slots) {
		return Math.max(granted, slots / Admission.BUSY_FACTOR);
	}

	private static List<CapacityParts.Part> divide(List<KindLoad> loads, int slots, long now) {
		List<CapacityParts.Part> parts = new ArrayList<>();
		double granted = 0;
		for (KindLoad load : loads) {
			parts.add(new CapacityParts.Part(load.priority(), load.demand(now), load.usualDemand(now)));
			granted += load.granted(now);
		}
		CapacityParts.divide(parts, capacity(granted, slots));
		return parts;
	}

	private static boolean isAnyShort(List<KindLoad> loads, List<CapacityParts.Part> parts, long now) {
		for (int i = 0; i < loads.size(); i++) {
			KindLoad load = loads.get(i);
			if (load.granted(now) < parts.get(i).granted() - TOLERANCE * load.demand(now)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns the work of a kind that was granted recently.
	 * @param request a request of the kind
	 * @param now the monotonic time in milliseconds
	 * @return the usual processing time granted per time
	 */
	double grantedWork(SlotRequest request, long now) {
		return kind(request, now).granted(now);
	}

	/**
	 * The identity of a kind.
	 *
	 * @param route the name of the route
	 * @param priority the priority
	 */
	private record Kind(String route, int priority) {
	}

}
