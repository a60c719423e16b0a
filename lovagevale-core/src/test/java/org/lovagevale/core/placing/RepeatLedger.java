package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Counts the requests for a service and their arrivals at its servers, and compares the
 * arrivals beyond the first of each request with the limit agreed with the operators.
 *
 * <p>
 * Times must be recorded in ascending order. Not thread-safe.
 */
final class RepeatLedger {

	private final PlacingLimits limits;

	private final List<Long> requests = new ArrayList<>();

	private final Set<Long> arrivedRequests = new HashSet<>();

	private final List<Long> repeats = new ArrayList<>();

	RepeatLedger(PlacingLimits limits) {
		this.limits = limits;
	}

	void recordRequest(long now) {
		this.requests.add(now);
	}

	void recordArrival(long request, long now) {
		if (!this.arrivedRequests.add(request)) {
			this.repeats.add(now);
		}
	}

	int repeats() {
		return this.repeats.size();
	}

	int arrivedRequests() {
		return this.arrivedRequests.size();
	}

	/**
	 * Returns the largest share of the limit that was used in any window. The requests
	 * are counted in that window, the one before it or the one half a window before it,
	 * whichever has most.
	 * @return the share, above 1 if the limit was exceeded
	 */
	double worstShareOfLimit() {
		long window = this.limits.retryWindowMs();
		double worst = 0;
		int first = 0;
		for (int last = 0; last < this.repeats.size(); last++) {
			long end = this.repeats.get(last);
			while (this.repeats.get(first) <= end - window) {
				first++;
			}
			long mostRequests = Math.max(requestsBefore(end),
					Math.max(requestsBefore(end - window / 2), requestsBefore(end - window)));
			worst = Math.max(worst,
					(last - first + 1) / (this.limits.retryRatio() * mostRequests + this.limits.retryExtra()));
		}
		return worst;
	}

	private long requestsBefore(long end) {
		return indexAfter(end) - indexAfter(end - this.limits.retryWindowMs());
	}

	private int indexAfter(long time) {
		int low = 0;
		int high = this.requests.size();
		while (low < high) {
			int middle = (low + high) >>> 1;
			if (this.requests.get(middle) <= time) {
				low = middle + 1;
			}
			else {
				high = middle;
			}
		}
		return low;
	}

}
