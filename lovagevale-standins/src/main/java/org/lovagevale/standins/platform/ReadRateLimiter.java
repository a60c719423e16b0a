package org.lovagevale.standins.platform;

import org.lovagevale.base.Clock;

/**
 * Limits the number of reads of the settings per second of the clock.
 *
 * <p>
 * Thread-safe.
 */
final class ReadRateLimiter {

	private static final long MS_PER_SECOND = 1_000;

	private final Clock clock;

	private int readsPerSecond;

	private long currentSecond;

	private int readsInSecond;

	private int peakReadsPerSecond;

	ReadRateLimiter(Clock clock, int readsPerSecond) {
		this.clock = clock;
		this.readsPerSecond = readsPerSecond;
	}

	synchronized boolean tryAcquire() {
		long now = Math.floorDiv(this.clock.millis(), MS_PER_SECOND);
		if (now != this.currentSecond) {
			this.currentSecond = now;
			this.readsInSecond = 0;
		}
		this.readsInSecond++;
		this.peakReadsPerSecond = Math.max(this.peakReadsPerSecond, this.readsInSecond);
		return this.readsInSecond <= this.readsPerSecond;
	}

	synchronized void setReadsPerSecond(int reads) {
		this.readsPerSecond = reads;
	}

	synchronized int peakReadsPerSecond() {
		return this.peakReadsPerSecond;
	}

}
