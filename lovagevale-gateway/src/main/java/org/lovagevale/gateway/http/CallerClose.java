package org.lovagevale.gateway.http;

import org.lovagevale.base.LogLine;

/**
 * The state of a connection of a caller when it was closed.
 *
 * <p>
 * Immutable.
 *
 * @param reason the reason for the close
 * @param why details of the reason, empty if there are none
 * @param caller the address and port of the caller
 * @param progress the progress of the request in progress
 * @param id the ID of that request, empty if it is not known
 * @param sends the number of servers that it was sent to
 * @param headBytes the size of a head that had arrived in part, in bytes
 * @param bodyUnread whether a part of the body of an answered request was not read
 * @param stopping whether a planned stop of the process is in progress
 * @param idleMs the time since the last activity, in milliseconds
 */
record CallerClose(CallerCloseReason reason, String why, String caller, RequestProgress progress, String id, int sends,
		long headBytes, boolean bodyUnread, boolean stopping, long idleMs) {

	/**
	 * Tells whether a request was unanswered or had arrived in part.
	 * @return {@code true} if the close left a request without a response
	 */
	boolean isRequestCut() {
		return this.progress != RequestProgress.NONE || this.headBytes > 0;
	}

	/**
	 * Tells whether the close can be the cause of a lost request or response.
	 * @return {@code false} for a close that is usual and without an effect on a request
	 */
	boolean isNotable() {
		boolean usual = switch (this.reason) {
			case LAST_RESPONSE, EARLY_RESPONSE, IDLE, PROCESS_ENDED, CALLER, CONNECTION_FAILED -> true;
			case RESPONSE_ABORTED, NOT_READ, WRITE_FAILED, ERROR -> false;
		};
		return !usual || isRequestCut() || this.bodyUnread;
	}

	/**
	 * Returns the log line.
	 * @return the line, to which further pairs can be added
	 */
	LogLine toLogLine() {
		return LogLine.event("caller.closed")
			.with("reason", this.reason)
			.with("caller", this.caller)
			.with("request", this.progress)
			.with("id", this.id)
			.with("sends", this.sends)
			.with("headBytes", this.headBytes)
			.with("bodyUnread", this.bodyUnread)
			.with("stopping", this.stopping)
			.with("idleMs", this.idleMs)
			.with("why", this.why);
	}

}
