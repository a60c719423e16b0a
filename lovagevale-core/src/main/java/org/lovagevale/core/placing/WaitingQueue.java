package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * The queue of requests of one service that wait for a slot.
 *
 * <p>
 * Orders requests for overloads that last less than a few seconds: by priority, then
 * requests of callers that returned as they were told before new ones, then requests that
 * can still meet their target latency before those that cannot, then by the nearest
 * target. Not thread-safe.
 */
final class WaitingQueue {

	private final List<QueuedRequest> waiting = new ArrayList<>();

	int size() {
		return this.waiting.size();
	}

	void add(QueuedRequest queued) {
		this.waiting.add(queued);
	}

	boolean remove(SlotId id) {
		return this.waiting.removeIf((queued) -> queued.request().id().equals(id));
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
	 * Sums up the usual processing times of the requests that are served before a new
	 * request.
	 * @param priority the priority of the new request
	 * @return the sum in milliseconds
	 */
	long workAheadMs(int priority) {
		long work = 0;
		for (QueuedRequest queued : this.waiting) {
			if (queued.request().priority() <= priority) {
				work += queued.request().workMs();
			}
		}
		return work;
	}

	/**
	 * Counts the requests that are served before a new request.
	 * @param priority the priority of the new request
	 * @return the number of requests
	 */
	int countAhead(int priority) {
		return (int) this.waiting.stream().filter((queued) -> queued.request().priority() <= priority).count();
	}

	@Nullable QueuedRequest first(long now) {
		return this.waiting.stream().min(order(now)).orElse(null);
	}

	private static Comparator<QueuedRequest> order(long now) {
		return Comparator.comparingInt((QueuedRequest queued) -> queued.request().priority())
			.thenComparing((queued) -> !queued.hasReturned())
			.thenComparing((queued) -> !queued.canMeetTarget(now))
			.thenComparingLong((queued) -> queued.targetAt());
	}

}
