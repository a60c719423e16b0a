package org.lovagevale.core.placing;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Region;

/**
 * Decides which requests of a service move to another region because this one has too
 * little capacity.
 *
 * <p>
 * Answers demand that is uneven between regions: it begins to move requests before this
 * region is full, in proportion to the free capacity of the others. The moved amount
 * follows its target slowly, since reports are up to a second old and faster changes
 * would make regions overload each other in turn. Not thread-safe.
 */
final class RegionOverflow {

	/** Utilization by the own requests from which requests are moved. */
	static final double START_UTILIZATION = 0.85;

	/** Utilization below which no more requests are moved. */
	static final double STOP_UTILIZATION = 0.7;

	/** Utilization that the own requests may cause here while others are moved. */
	private static final double KEPT_UTILIZATION = 0.8;

	/** Utilization of another region below which it gets its first requests. */
	static final double MAX_REMOTE_START = 0.75;

	/** Utilization of another region up to which it gets requests. */
	static final double MAX_REMOTE = 0.85;

	/**
	 * Part of the free capacity of another region that is used, since a third region may
	 * use it at the same time.
	 */
	private static final double FREE_PART = 0.5;

	/**
	 * Queued work that counts like a slot in use, in milliseconds. A request that waits a
	 * moment for a recent load report is no sign of a lack of capacity.
	 */
	private static final int QUEUED_WORK_PER_SLOT_MS = 300;

	/**
	 * Part of the difference to the target by which the amount changes in an interval.
	 */
	private static final double STEP_PART = 0.3;

	/** Interval in which the amount is adjusted, in milliseconds. */
	static final long INTERVAL_MS = 100;

	/** Round-trip time between two regions, in milliseconds. */
	static final long REGION_ROUND_TRIP_MS = 60;

	/** Size in bytes from which a request body counts as large. */
	static final int LARGE_BODY_BYTES = 1_024;

	private static final double INITIAL_SLOTS_PER_WORK = 1.5;

	/** Number of responses over which the slots per work are averaged. */
	private static final double SMOOTHING_RESPONSES = 100;

	private static final double DEMAND_PERIOD_MS = 1_000;

	/** Amounts below this number of slots are dropped. */
	private static final double MIN_SLOTS = 0.05;

	private final Map<Region, Target> targets = new HashMap<>();

	private final DecayingRate smallDemand;

	private final DecayingRate largeDemand;

	private final DecayingRate fixedDemand;

	/** Slots that one unit of work per time needs. */
	private double slotsPerWork = INITIAL_SLOTS_PER_WORK;

	private boolean active;

	private long adjustedAt;

	/**
	 * Creates an overflow that moves nothing.
	 * @param now the monotonic time in milliseconds
	 */
	RegionOverflow(long now) {
		this.smallDemand = new DecayingRate(DEMAND_PERIOD_MS, now);
		this.largeDemand = new DecayingRate(DEMAND_PERIOD_MS, now);
		this.fixedDemand = new DecayingRate(DEMAND_PERIOD_MS, now);
		this.adjustedAt = now;
	}

	private static boolean isLarge(SlotRequest request) {
		return request.largeResponse() || request.bodyBytes() > LARGE_BODY_BYTES;
	}

	void recordRequest(SlotRequest request, long now) {
		if (request.overflowRegions().isEmpty()) {
			this.fixedDemand.add(request.workMs(), now);
		}
		else {
			(isLarge(request) ? this.largeDemand : this.smallDemand).add(request.workMs(), now);
		}
	}

	void recordResponse(int tookMs, int workMs) {
		this.slotsPerWork += (tookMs / Math.max(1.0, workMs) - this.slotsPerWork) / SMOOTHING_RESPONSES;
	}

	boolean isDue(long now) {
		return now - this.adjustedAt >= INTERVAL_MS;
	}

	/**
	 * Adjusts the amounts that move to each region. To be called when it is due.
	 * @param own the capacity of this region
	 * @param remote the recent reports of the other regions
	 * @param now the monotonic time in milliseconds
	 */
	void adjust(RegionCapacity own, Map<Region, RegionCapacity> remote, long now) {
		this.adjustedAt = now;
		double needed = (this.smallDemand.perMs(now) + this.largeDemand.perMs(now) + this.fixedDemand.perMs(now))
				* this.slotsPerWork;
		double utilization = needed / Math.max(1, own.slots());
		this.active = utilization > (this.active ? STOP_UTILIZATION : START_UTILIZATION);
		double excess = this.active ? Math.max(0, needed - KEPT_UTILIZATION * own.slots()) : 0;
		Map<Region, Double> free = new HashMap<>();
		remote.forEach((region, capacity) -> free.put(region, usableSlots(region, capacity)));
		double sum = free.values().stream().mapToDouble(Double::doubleValue).sum();
		this.targets.keySet().retainAll(remote.keySet());
		free.forEach((region, slots) -> {
			Target target = this.targets.computeIfAbsent(region, (added) -> new Target());
			double wanted = (sum <= 0) ? 0 : Math.min(slots, excess * slots / sum);
			target.slots += (wanted - target.slots) * STEP_PART;
			target.slots = (target.slots < MIN_SLOTS && wanted == 0) ? 0 : target.slots;
			target.credit = Math.min(1, target.credit);
		});
		spread(now);
	}

	// The report of a region includes what moved there before, so the amount settles at a
	// third of what was free.
	private double usableSlots(Region region, RegionCapacity capacity) {
		Target target = this.targets.get(region);
		double moved = (target != null) ? target.slots : 0;
		double limit = (moved > 0) ? MAX_REMOTE : MAX_REMOTE_START;
		double used = capacity.usedSlots() + (double) capacity.queuedWorkMs() / QUEUED_WORK_PER_SLOT_MS;
		if (used >= limit * capacity.slots()) {
			return 0;
		}
		return FREE_PART * (MAX_REMOTE * capacity.slots() - used);
	}

	// Requests with large bodies move only with what the others do not take.
	private void spread(long now) {
		double small = this.smallDemand.perMs(now) * this.slotsPerWork;
		double large = this.largeDemand.perMs(now) * this.slotsPerWork;
		double total = this.targets.values().stream().mapToDouble((target) -> target.slots).sum();
		double smallPart = (small <= 0) ? 0 : Math.min(1, total / small);
		double largePart = (large <= 0) ? 0 : Math.min(1, Math.max(0, total - small) / large);
		for (Target target : this.targets.values()) {
			double part = (total <= 0) ? 0 : target.slots / total;
			target.smallPart = smallPart * part;
			target.largePart = largePart * part;
		}
	}

	/**
	 * Chooses the region to which a request moves before it is placed here.
	 * @param request the request
	 * @return the region, or {@code null} if the request stays
	 */
	@Nullable Region choose(SlotRequest request) {
		Region best = null;
		Target bestTarget = null;
		for (Region region : request.overflowRegions()) {
			Target target = this.targets.get(region);
			if (target == null || target.slots <= 0) {
				continue;
			}
			target.credit += isLarge(request) ? target.largePart : target.smallPart;
			if (target.credit >= 1 && (bestTarget == null || target.credit > bestTarget.credit)) {
				best = region;
				bestTarget = target;
			}
		}
		if (bestTarget != null) {
			bestTarget.credit -= 1;
		}
		return best;
	}

	/**
	 * Chooses the region to which a request moves that waits here longer than the way to
	 * another region takes.
	 * @param request the request
	 * @param waitMs the expected wait here, in milliseconds
	 * @param remote the recent reports of the other regions
	 * @return the region, or {@code null} if the request stays
	 */
	@Nullable Region chooseForWait(SlotRequest request, double waitMs, Map<Region, RegionCapacity> remote) {
		if (waitMs <= REGION_ROUND_TRIP_MS
				|| request.timeLeftMs() <= REGION_ROUND_TRIP_MS + request.workMs() * Admission.BUSY_FACTOR) {
			return null;
		}
		Region best = null;
		double bestFree = 0;
		for (Region region : request.overflowRegions()) {
			RegionCapacity capacity = remote.get(region);
			double free = (capacity != null) ? usableSlots(region, capacity) : 0;
			Target target = this.targets.get(region);
			double left = free - ((target != null) ? target.sentSinceReport : 0);
			if (left > bestFree) {
				best = region;
				bestFree = left;
			}
		}
		if (best != null) {
			this.targets.computeIfAbsent(best, (added) -> new Target()).sentSinceReport++;
		}
		return best;
	}

	void recordReport(Region region) {
		Target target = this.targets.get(region);
		if (target != null) {
			target.sentSinceReport = 0;
		}
	}

	/**
	 * Returns the slots in other regions that the requests of this one use by intent.
	 * @return the number of slots
	 */
	double movedSlots() {
		return this.targets.values().stream().mapToDouble((target) -> target.slots).sum();
	}

	/**
	 * What moves to one region.
	 *
	 * <p>
	 * Not thread-safe.
	 */
	private static final class Target {

		private double slots;

		private double smallPart;

		private double largePart;

		private double credit;

		private int sentSinceReport;

	}

}
