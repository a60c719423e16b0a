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
 * The requests of a service that wait for a backend server, ordered by priority and then
 * by arrival.
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
	 * Adds a request. If the queue is full, removes another request or the new one.
	 *
	 * <p>
	 * A retry is added at the front, since its request arrived before the others.
	 * @param request the request
	 * @param capacity the maximum number of queued requests
	 * @return the removed request, which has to be refused and may be the new one, or
	 * {@code null} if there was room
	 */
	@Nullable Evicted add(ActiveRequest request, int capacity) {
		Deque<ActiveRequest> requests = this.byPriority.get(request.priority().ordinal());
		if (request.dispatchCount() > 0) {
			requests.addFirst(request);
		}
		else {
			requests.addLast(request);
		}
		this.size++;
		if (this.size <= capacity) {
			return null;
		}
		Evicted evicted = new FairShareEviction(capacity).select(this);
		remove(evicted.request());
		return evicted;
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
	 * Offers the queued requests to a consumer, in order.
	 * @param consumer accepts or declines each request
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
	 * @param account the account to which the request must belong, ignored if
	 * {@code anyAccount}
	 * @param anyAccount whether the request may belong to any account
	 * @return the request, or {@code null} if there is none
	 */
	@Nullable ActiveRequest lastOfLowestPriority(@Nullable AccountName account, boolean anyAccount) {
		for (int i = this.byPriority.size() - 1; i >= 0; i--) {
			Iterator<ActiveRequest> fromLast = this.byPriority.get(i).descendingIterator();
			while (fromLast.hasNext()) {
				ActiveRequest request = fromLast.next();
				if (anyAccount || Objects.equals(request.account(), account)) {
					return request;
				}
			}
		}
		return null;
	}

	/**
	 * Counts the requests by account.
	 * @return for each account an array of its number of requests and its weight
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

	/** The response of a consumer to an offered request. */
	enum Offer {

		/** The request was accepted and leaves the queue. */
		TAKEN,

		/** The request was declined and stays in the queue. */
		LEFT,

		/** The request was declined, and no further requests should be offered. */
		STOP

	}

	/** Accepts or declines offered requests. */
	interface Consumer {

		/**
		 * Accepts or declines a request.
		 * @param request the request
		 * @return the response
		 */
		Offer take(ActiveRequest request);

	}

	/**
	 * A request that was removed from a full queue.
	 *
	 * @param request the request
	 * @param overShare whether its account exceeded its fair share of the queue
	 */
	record Evicted(ActiveRequest request, boolean overShare) {
	}

}
