package org.lovagevale.core.limit;

/**
 * The rate of arrivals in the last {@link #WINDOW_MS}.
 *
 * <p>
 * Not thread-safe.
 */
final class ArrivalRate {

	/**
	 * Period over which arrivals are counted, in milliseconds. It is short, since shares
	 * of the regions follow demand that moves within a second.
	 */
	static final long WINDOW_MS = 400;

	private static final int BUCKETS = 4;

	private static final long BUCKET_MS = WINDOW_MS / BUCKETS;

	private static final double MS_PER_SECOND = 1_000;

	private final int[] counts = new int[BUCKETS];

	private long currentBucket;

	void record(long now) {
		advance(now);
		this.counts[Math.floorMod(this.currentBucket, BUCKETS)]++;
	}

	/**
	 * Returns the rate.
	 * @param now the monotonic time in milliseconds
	 * @return the arrivals per second
	 */
	double perSecond(long now) {
		advance(now);
		int sum = 0;
		for (int count : this.counts) {
			sum += count;
		}
		return sum * MS_PER_SECOND / WINDOW_MS;
	}

	private void advance(long now) {
		long bucket = Math.floorDiv(now, BUCKET_MS);
		long steps = Math.min(BUCKETS, bucket - this.currentBucket);
		for (long i = 0; i < steps; i++) {
			this.currentBucket++;
			this.counts[Math.floorMod(this.currentBucket, BUCKETS)] = 0;
		}
		this.currentBucket = Math.max(this.currentBucket, bucket);
	}

}
