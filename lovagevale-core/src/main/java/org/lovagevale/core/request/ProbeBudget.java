package org.lovagevale.core.request;

import org.lovagevale.settings.model.MeasuringSettings;

/**
 * Limits the probe rate of a backend server.
 *
 * <p>
 * Probes are counted per window of wall-clock time. Each window has a single owner, so
 * the limit applies to all entry VMs together. Not thread-safe.
 */
final class ProbeBudget {

	private static final double MINUTE_MS = 60_000;

	private long countedWindow = Long.MIN_VALUE;

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
	 * Starts a probe if the budget allows it.
	 * @param measuring the settings that hold the budget
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if the probe was counted and may be sent
	 */
	boolean tryStartProbe(MeasuringSettings measuring, long epochMillis, long now) {
		if (measuring.probesPerMinute() <= 0) {
			return false;
		}
		double probesPerWindow = measuring.probesPerMinute() * measuring.coldWindowMs() / MINUTE_MS;
		long currentWindow = epochMillis / measuring.coldWindowMs();
		long windowInterval = (probesPerWindow < 1) ? (long) Math.ceil(1 / probesPerWindow) : 1;
		if (currentWindow % windowInterval != 0) {
			return false;
		}
		if (currentWindow != this.countedWindow) {
			this.countedWindow = currentWindow;
			this.probes = 0;
		}
		if (this.probes >= Math.max(1, (int) probesPerWindow)) {
			return false;
		}
		this.probes++;
		this.running = true;
		this.startedAt = now;
		return true;
	}

	void endProbe() {
		this.running = false;
	}

}
