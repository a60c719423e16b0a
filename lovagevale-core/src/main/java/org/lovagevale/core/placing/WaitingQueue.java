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
final class WaitingQueue {

	private final List<QueuedRequest> waiting = new ArrayList<>();

	int size() {
		return this.waiting.size();
	}

	void add(QueuedRequest slot) {
		this.waiting.add(slot);
	}

	boolean remove(SlotId id) {
		return this.waiting.removeIf((slot) -> slot.request().id().equals(id));
	}

	List<QueuedRequest> removeIf(Predicate<QueuedRequest> condition) {
		List<QueuedRequest> removed = this.waiting.stream().filter(condition).toList();
		this.waiting.removeAll(removed);
		return removed;
	}

	List<QueuedRequest> inOrder(long now) {
		List<QueuedRequest> order = new ArrayList<>(this.waiting);
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
		for (QueuedRequest slot : this.waiting) {
			if (slot.request().priority() <= priority) {
				work += slot.request().workMs();
			}
		}
		return work;
	}

	@Nullable QueuedRequest first(long now) {
		return this.waiting.stream().min(order(now)).orElse(null);
	}

	private static Comparator<QueuedRequest> order(long now) {
		return Comparator.comparingInt((QueuedRequest slot) -> slot.request().priority())
			.thenComparing((slot) -> !slot.canMeetTarget(now))
			.thenComparingLong((slot) -> slot.targetAt());
	}

}
