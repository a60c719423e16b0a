package org.lovagevale.standins.platform;

import org.lovagevale.base.Clock;

/**
 * A rate limiter for reads of the settings that counts them in fixed windows of one
 * second.
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
		long second = Math.floorDiv(this.clock.millis(), MS_PER_SECOND);
		if (second != this.currentSecond) {
			this.currentSecond = second;
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
