package org.lovagevale.core.request;

import java.util.Map;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.core.request.RequestQueue.Evicted;

/**
 * Selects the request to remove from a full queue.
 *
 * <p>
 * Selects a request of the client account that exceeds its weighted share by the largest
 * factor. If no account exceeds its share, selects a request of the lowest priority.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param capacity the maximum number of queued requests
 */
record FairShareEviction(int capacity) {

	Evicted select(RequestQueue queue) {
		Map<@Nullable AccountName, int[]> counts = queue.countByAccount();
		int totalWeight = 0;
		for (int[] count : counts.values()) {
			totalWeight += count[1];
		}
		boolean overShare = false;
		AccountName worstAccount = null;
		double largestFactor = 1;
		for (Map.Entry<@Nullable AccountName, int[]> entry : counts.entrySet()) {
			int requests = entry.getValue()[0];
			double share = (double) this.capacity * entry.getValue()[1] / totalWeight;
			// An excess of at most one request is rounding: a queue that is one over its
			// capacity always has an account above its exact share.
			if (requests - share > 1 && requests / share > largestFactor) {
				largestFactor = requests / share;
				worstAccount = entry.getKey();
				overShare = true;
			}
		}
		ActiveRequest last = queue.lastOfLowestPriority(worstAccount, !overShare);
		return new Evicted(Objects.requireNonNull(last), overShare);
	}

}
