package org.lovagevale.core.request;

import org.lovagevale.settings.model.MeasuringSettings;

/**
 * Bounds the probes of one backend server.
 *
 * <p>
 * Probes are counted in windows of wall time, each of which has one owner, so the bound
 * holds for all entry VMs together. Not thread-safe.
 */
final class ProbeBudget {

	private static final double MINUTE_MS = 60_000;

	private long window = Long.MIN_VALUE;

	private int probes;

	private boolean running;

	private long startedAt;

	boolean isRunning() {
		return this.running;
	}

	long startedAt() {
		return this.startedAt;
	}

	/**
	 * Takes the allowance for one probe.
	 * @param measuring the budget
	 * @param epochMillis the wall time in milliseconds since the epoch
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if a probe may start
	 */
	boolean tryStart(MeasuringSettings measuring, long epochMillis, long now) {
		if (measuring.probesPerMinute() <= 0) {
			return false;
		}
		double perWindow = measuring.probesPerMinute() * measuring.coldWindowMs() / MINUTE_MS;
		long current = epochMillis / measuring.coldWindowMs();
		long every = (perWindow < 1) ? (long) Math.ceil(1 / perWindow) : 1;
		if (current % every != 0) {
			return false;
		}
		if (current != this.window) {
			this.window = current;
			this.probes = 0;
		}
		if (this.probes >= Math.max(1, (int) perWindow)) {
			return false;
		}
		this.probes++;
		this.running = true;
		this.startedAt = now;
		return true;
	}

	void end() {
		this.running = false;
	}

}
