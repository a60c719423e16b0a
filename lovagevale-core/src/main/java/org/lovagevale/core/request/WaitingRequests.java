package org.lovagevale.core.request;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The requests that wait for a result from the fleet. They are checked after every event.
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
	 * Removes all requests. The caller must add back those that still wait.
	 * @return the requests, in the order in which they began to wait
	 */
	List<ActiveRequest> drain() {
		List<ActiveRequest> all = new ArrayList<>(this.requests);
		this.requests.clear();
		return all;
	}

}
