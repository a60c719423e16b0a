package org.lovagevale.core.request;

/**
 * One dispatch of a request to a backend server.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param number its number, counted from 1
 * @param server the backend server
 * @param startedAt when it was dispatched, monotonic in milliseconds
 * @param endsAt when it times out, monotonic in milliseconds
 */
record Attempt(int number, TrackedServer server, long startedAt, long endsAt) {

	// Timers of the node and the clock of the logic differ by a few milliseconds.
	private static final long TIMER_ERROR_MS = 20;

	boolean isOver(long now) {
		return now >= this.endsAt - TIMER_ERROR_MS;
	}

	long timeoutMs() {
		return this.endsAt - this.startedAt;
	}

}
