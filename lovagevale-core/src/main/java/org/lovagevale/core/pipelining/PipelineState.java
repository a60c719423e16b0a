package org.lovagevale.core.pipelining;

/**
 * What decides whether the next request of a connection may start.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param unanswered the number of earlier requests of the connection whose responses are
 * not sent completely
 * @param concurrent whether the next request and all of these may run at the same time
 * @param ending whether the connection is closed after a response to one of these
 * @param memoryShare the share of the memory for requests that accepted ones hold, or of
 * that for responses which is in use, whichever is larger
 */
public record PipelineState(int unanswered, boolean concurrent, boolean ending, double memoryShare) {

	/**
	 * Maximum number of requests of a connection that are in progress, or whose responses
	 * wait for their turn. A caller that sends more has them handled in the order in
	 * which they arrive.
	 */
	public static final int MAX_CONCURRENT_REQUESTS = 4;

	/**
	 * Share of the memory from which requests wait for earlier ones. The rest is left for
	 * the first requests of all connections.
	 */
	public static final double MAX_MEMORY_SHARE = 0.5;

	/**
	 * Checks the number of requests.
	 * @throws IllegalArgumentException if it is negative
	 */
	public PipelineState {
		if (unanswered < 0) {
			throw new IllegalArgumentException("negative number of requests " + unanswered);
		}
	}

	/**
	 * Tells whether the next request may start. The first one always may, so that each
	 * request is answered in the end.
	 * @return {@code false} if it has to wait until an earlier response is sent
	 */
	public boolean mayStartNext() {
		if (this.unanswered == 0) {
			return true;
		}
		return this.unanswered < MAX_CONCURRENT_REQUESTS && this.concurrent && !this.ending
				&& this.memoryShare < MAX_MEMORY_SHARE;
	}

}
