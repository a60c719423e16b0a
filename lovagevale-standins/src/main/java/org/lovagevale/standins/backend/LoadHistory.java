package org.lovagevale.standins.backend;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Past values of the number of requests in a server, for reports that are late.
 *
 * <p>
 * Thread-safe.
 */
final class LoadHistory {

	private static final int MAX_SAMPLES = 10_000;

	private final Deque<Sample> samples = new ArrayDeque<>();

	synchronized void add(long atMs, int inFlight) {
		this.samples.addLast(new Sample(atMs, inFlight));
		if (this.samples.size() > MAX_SAMPLES) {
			this.samples.removeFirst();
		}
	}

	/**
	 * Returns the value at a time.
	 * @param atMs the time
	 * @return the last value added until then, 0 if there is none
	 */
	synchronized int inFlightAt(long atMs) {
		int result = 0;
		for (Sample sample : this.samples) {
			if (sample.atMs() > atMs) {
				break;
			}
			result = sample.inFlight();
		}
		return result;
	}

	/**
	 * A value at a time.
	 *
	 * @param atMs the time in milliseconds
	 * @param inFlight the requests in the server
	 */
	private record Sample(long atMs, int inFlight) {
	}

}
