package org.lovagevale.core.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.settings.model.Priority;

/**
 * The requests of a service that wait for a backend server, by priority and then arrival.
 *
 * <p>
 * Not thread-safe.
 */
final class RequestQueue {

	private final List<Deque<ActiveRequest>> byPriority = new ArrayList<>();

	private int size;

	RequestQueue() {
		for (int i = 0; i < Priority.values().length; i++) {
			this.byPriority.add(new ArrayDeque<>());
		}
	}

	int size() {
		return this.size;
	}

	boolean isEmpty() {
		return this.size == 0;
	}

	/**
	 * Adds a request, if need be in the place of another one.
	 *
	 * <p>
	 * A retry goes first: it arrived before the others.
	 * @param request the request
	 * @param capacity the most requests that may wait
	 * @return the request that has to be refused, perhaps the new one, or {@code null} if
	 * there was room
	 */
	@Nullable Displaced add(ActiveRequest request, int capacity) {
		Deque<ActiveRequest> requests = this.byPriority.get(request.priority().ordinal());
		if (request.dispatched() > 0) {
			requests.addFirst(request);
		}
		else {
			requests.addLast(request);
		}
		this.size++;
		if (this.size <= capacity) {
			return null;
		}
		Displaced displaced = new FairShare(capacity).displaced(this);
		remove(displaced.request());
		return displaced;
	}

	/**
	 * Removes a request.
	 * @param request the request
	 */
	void remove(ActiveRequest request) {
		if (this.byPriority.get(request.priority().ordinal()).remove(request)) {
			this.size--;
		}
	}

	/**
	 * Removes all requests.
	 * @return the requests in order
	 */
	List<ActiveRequest> drain() {
		List<ActiveRequest> all = new ArrayList<>(this.size);
		for (Deque<ActiveRequest> requests : this.byPriority) {
			all.addAll(requests);
			requests.clear();
		}
		this.size = 0;
		return all;
	}

	/**
	 * Offers the requests in order.
	 * @param consumer takes a request or leaves it
	 */
	void offer(Consumer consumer) {
		for (Deque<ActiveRequest> requests : this.byPriority) {
			Iterator<ActiveRequest> iterator = requests.iterator();
			while (iterator.hasNext()) {
				Offer offer = consumer.take(iterator.next());
				if (offer == Offer.STOP) {
					return;
				}
				if (offer == Offer.TAKEN) {
					iterator.remove();
					this.size--;
				}
			}
		}
	}

	/**
	 * Returns the last request of the lowest priority.
	 * @param account the account to which it must belong
	 * @param any whether it may belong to any account
	 * @return the request, or {@code null} if there is none
	 */
	@Nullable ActiveRequest last(@Nullable AccountName account, boolean any) {
		for (int i = this.byPriority.size() - 1; i >= 0; i--) {
			Iterator<ActiveRequest> fromLast = this.byPriority.get(i).descendingIterator();
			while (fromLast.hasNext()) {
				ActiveRequest request = fromLast.next();
				if (any || Objects.equals(request.account(), account)) {
					return request;
				}
			}
		}
		return null;
	}

	/**
	 * Counts the requests by account.
	 * @return for each account its requests and its weight
	 */
	Map<@Nullable AccountName, int[]> countByAccount() {
		Map<@Nullable AccountName, int[]> counts = new HashMap<>();
		for (Deque<ActiveRequest> requests : this.byPriority) {
			for (ActiveRequest request : requests) {
				int[] count = counts.computeIfAbsent(request.account(),
						(account) -> new int[] { 0, request.accountWeight() });
				count[0]++;
			}
		}
		return counts;
	}

	/** What was done with an offered request. */
	enum Offer {

		/** It left the queue. */
		TAKEN,

		/** It stays. */
		LEFT,

		/** It stays, and no other one is wanted. */
		STOP

	}

	/** Takes offered requests. */
	interface Consumer {

		/**
		 * Takes a request or leaves it.
		 * @param request the request
		 * @return what was done
		 */
		Offer take(ActiveRequest request);

	}

	/**
	 * A request that has to leave a full queue.
	 *
	 * @param request the request
	 * @param overShare whether its account has more than its share
	 */
	record Displaced(ActiveRequest request, boolean overShare) {
	}

}
