package org.lovagevale.core.request;

/**
 * A dispatch of a request to a backend server.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param number the number of the attempt within its request, starting at 1
 * @param server the backend server
 * @param startedAt the monotonic time of the dispatch in milliseconds
 * @param endsAt the monotonic time of the timeout in milliseconds
 */
record Attempt(int number, TrackedServer server, long startedAt, long endsAt) {

	// The timers of the node and the clock of the request logic differ by a few
	// milliseconds.
	private static final long TIMER_TOLERANCE_MS = 20;

	boolean isTimedOut(long now) {
		return now >= this.endsAt - TIMER_TOLERANCE_MS;
	}

	long timeoutMs() {
		return this.endsAt - this.startedAt;
	}

}
