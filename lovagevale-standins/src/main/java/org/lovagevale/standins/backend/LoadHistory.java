package org.lovagevale.standins.backend;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Past numbers of requests in flight on a server, kept to simulate delayed load reports.
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
	 * Returns the number of requests in flight at a time.
	 * @param atMs the time in milliseconds
	 * @return the last value recorded at or before that time, 0 if there is none
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
	 * A recorded number of requests in flight.
	 *
	 * @param atMs the time in milliseconds
	 * @param inFlight the number of requests in flight
	 */
	private record Sample(long atMs, int inFlight) {
	}

}
