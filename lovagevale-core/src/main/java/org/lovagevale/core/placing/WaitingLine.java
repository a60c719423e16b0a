package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * The requests of one service that wait for a slot.
 *
 * <p>
 * Answers an overload of less than a few seconds: the highest priority goes first; within
 * it, requests that can still be answered in time go before those that cannot, and the
 * one with the nearest target goes first. Not thread-safe.
 */
final class WaitingLine {

	private final List<WaitingSlot> waiting = new ArrayList<>();

	int size() {
		return this.waiting.size();
	}

	void add(WaitingSlot slot) {
		this.waiting.add(slot);
	}

	boolean remove(SlotId id) {
		return this.waiting.removeIf((slot) -> slot.request().id().equals(id));
	}

	List<WaitingSlot> removeIf(Predicate<WaitingSlot> condition) {
		List<WaitingSlot> removed = this.waiting.stream().filter(condition).toList();
		this.waiting.removeAll(removed);
		return removed;
	}

	List<WaitingSlot> inOrder(long now) {
		List<WaitingSlot> order = new ArrayList<>(this.waiting);
		order.sort(order(now));
		return order;
	}

	/**
	 * Adds up the work that is served before a request.
	 * @param priority the priority of the request
	 * @return milliseconds of usual work
	 */
	long workAheadMs(int priority) {
		long work = 0;
		for (WaitingSlot slot : this.waiting) {
			if (slot.request().priority() <= priority) {
				work += slot.request().workMs();
			}
		}
		return work;
	}

	@Nullable WaitingSlot first(long now) {
		return this.waiting.stream().min(order(now)).orElse(null);
	}

	private static Comparator<WaitingSlot> order(long now) {
		return Comparator.comparingInt((WaitingSlot slot) -> slot.request().priority())
			.thenComparing((slot) -> !slot.canMeetTarget(now))
			.thenComparingLong((slot) -> slot.targetAt());
	}

}
