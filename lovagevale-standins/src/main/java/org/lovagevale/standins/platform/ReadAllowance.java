package org.lovagevale.standins.platform;

import org.lovagevale.base.Clock;

/**
 * The reads that the settings service admits in each second.
 *
 * <p>
 * Thread-safe.
 */
final class ReadAllowance {

	private static final long SECOND_MS = 1_000;

	private final Clock clock;

	private int perSecond;

	private long second;

	private int used;

	private int peak;

	ReadAllowance(Clock clock, int perSecond) {
		this.clock = clock;
		this.perSecond = perSecond;
	}

	synchronized boolean take() {
		long now = Math.floorDiv(this.clock.millis(), SECOND_MS);
		if (now != this.second) {
			this.second = now;
			this.used = 0;
		}
		this.used++;
		this.peak = Math.max(this.peak, this.used);
		return this.used <= this.perSecond;
	}

	synchronized void limit(int reads) {
		this.perSecond = reads;
	}

	synchronized int peak() {
		return this.peak;
	}

}
