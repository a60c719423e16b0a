package org.lovagevale.core.placing;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Divides a capacity between kinds of requests that ask for more than that.
 *
 * <p>
 * Invariants: no kind gets more than it asks for; the sum of the parts is at most the
 * capacity; no kind is served in a larger part of its demand than a kind of higher
 * priority. Stateless and thread-safe.
 */
final class CapacityParts {

	/** Share of its entitlement that each kind gets before priority decides. */
	static final double MIN_ENTITLEMENT_SHARE = 0.3;

	/** Steps of the search for the common part of two priorities. */
	private static final int SEARCH_STEPS = 30;

	/** Differences of parts that are no violation of the order. */
	private static final double TOLERANCE = 1e-6;

	private CapacityParts() {
	}

	/**
	 * Divides the capacity.
	 * @param kinds the kinds, whose parts are set
	 * @param capacity the capacity, in the unit of the demands
	 */
	static void divide(List<Part> kinds, double capacity) {
		List<Part> order = kinds.stream().sorted(Comparator.comparingInt((part) -> part.priority)).toList();
		double entitled = order.stream().mapToDouble((part) -> part.entitlement).sum();
		double minShare = (entitled <= 0) ? 0 : Math.min(MIN_ENTITLEMENT_SHARE, capacity / entitled);
		order.forEach((part) -> part.granted = part.entitlement * minShare);
		double left = capacity - entitled * minShare;
		left = fill(order, left, (part) -> part.entitlement);
		fill(order, left, (part) -> part.demand);
		restoreOrder(order);
	}

	// Raises the parts to their limits by priority, and in proportion to what is missing
	// within a priority.
	private static double fill(List<Part> order, double capacity, ToDoubleFunction<Part> limit) {
		double left = capacity;
		int[] priorities = order.stream().mapToInt((part) -> part.priority).distinct().toArray();
		for (int priority : priorities) {
			List<Part> same = order.stream().filter((part) -> part.priority == priority).toList();
			double missing = same.stream().mapToDouble((part) -> limit.applyAsDouble(part) - part.granted).sum();
			if (missing <= 0 || left <= 0) {
				continue;
			}
			double share = Math.min(1, left / missing);
			same.forEach((part) -> part.granted += (limit.applyAsDouble(part) - part.granted) * share);
			left -= missing * share;
		}
		return left;
	}

	private static void restoreOrder(List<Part> order) {
		int[] priorities = order.stream().mapToInt((part) -> part.priority).distinct().toArray();
		// Each pass settles at least one more priority.
		for (int pass = 0; pass < priorities.length; pass++) {
			for (int priority : priorities) {
				List<Part> urgent = order.stream().filter((part) -> part.priority <= priority).toList();
				List<Part> others = order.stream().filter((part) -> part.priority > priority).toList();
				levelOut(urgent, others);
			}
		}
	}

	// Finds the part to which the others have to be lowered so that what this frees
	// raises
	// the urgent kinds to the same part.
	private static void levelOut(List<Part> urgent, List<Part> others) {
		double low = urgent.stream().mapToDouble(Part::share).min().orElse(1);
		double high = others.stream().mapToDouble(Part::share).max().orElse(0);
		if (high <= low + TOLERANCE) {
			return;
		}
		for (int step = 0; step < SEARCH_STEPS; step++) {
			double middle = (low + high) / 2;
			double freed = others.stream()
				.mapToDouble((part) -> Math.max(0, part.granted - middle * part.demand))
				.sum();
			double needed = urgent.stream()
				.mapToDouble((part) -> Math.max(0, middle * part.demand - part.granted))
				.sum();
			if (needed > freed) {
				high = middle;
			}
			else {
				low = middle;
			}
		}
		double common = low;
		others.forEach((part) -> part.granted = Math.min(part.granted, common * part.demand));
		urgent.forEach((part) -> part.granted = Math.max(part.granted, common * part.demand));
	}

	/**
	 * What one kind asks for and gets.
	 *
	 * <p>
	 * Not thread-safe.
	 */
	static final class Part {

		private final int priority;

		private final double demand;

		private final double entitlement;

		private double granted;

		/**
		 * Creates a part without capacity.
		 * @param priority the priority of the kind, 0 being the highest
		 * @param demand the capacity that it asks for
		 * @param entitlement the capacity that no burst of another kind may take, at most
		 * the demand
		 */
		Part(int priority, double demand, double entitlement) {
			this.priority = priority;
			this.demand = demand;
			this.entitlement = Math.min(demand, entitlement);
		}

		double granted() {
			return this.granted;
		}

		/**
		 * Returns the part of the demand that is granted.
		 * @return the part, from 0 to 1
		 */
		double share() {
			return (this.demand <= 0) ? 1 : this.granted / this.demand;
		}

	}

}
