package org.lovagevale.core.request;

import java.util.Map;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.core.request.RequestQueue.Displaced;

/**
 * Decides which request leaves a full queue: one of the account furthest over its share
 * by weight, else one of the lowest priority.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param capacity the most requests that may wait
 */
record FairShare(int capacity) {

	Displaced displaced(RequestQueue queue) {
		Map<@Nullable AccountName, int[]> counts = queue.countByAccount();
		int weights = 0;
		for (int[] count : counts.values()) {
			weights += count[1];
		}
		boolean overShare = false;
		AccountName worst = null;
		double most = 1;
		for (Map.Entry<@Nullable AccountName, int[]> entry : counts.entrySet()) {
			int requests = entry.getValue()[0];
			double share = (double) this.capacity * entry.getValue()[1] / weights;
			// One request more than the share is rounding: a queue that is one over its
			// capacity always has an account over its share.
			if (requests - share > 1 && requests / share > most) {
				most = requests / share;
				worst = entry.getKey();
				overShare = true;
			}
		}
		ActiveRequest last = queue.last(worst, !overShare);
		return new Displaced(Objects.requireNonNull(last), overShare);
	}

}
