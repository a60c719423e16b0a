package org.lovagevale.core.request;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Requests that wait for the fleet, which are looked at after every event.
 *
 * <p>
 * Usually empty. Not thread-safe.
 */
final class WaitingRequests {

	private final Set<ActiveRequest> requests = new LinkedHashSet<>();

	void add(ActiveRequest request) {
		this.requests.add(request);
	}

	boolean isEmpty() {
		return this.requests.isEmpty();
	}

	/**
	 * Removes all requests; those that still wait are to be added again.
	 * @return the requests, in the order in which they began to wait
	 */
	List<ActiveRequest> take() {
		List<ActiveRequest> all = new ArrayList<>(this.requests);
		this.requests.clear();
		return all;
	}

}
