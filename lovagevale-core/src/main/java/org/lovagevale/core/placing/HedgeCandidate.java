package org.lovagevale.core.placing;

/**
 * A request that runs at a server, with what decides whether it may be hedged.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param idempotent whether the request may run more than once
 * @param resendable whether the whole request is buffered
 * @param sends the number of servers that the request was sent to
 * @param running the number of attempts that are in progress
 * @param maxSends the maximum number of servers that the request is sent to
 * @param ageMs the time since the attempt in progress was placed, in milliseconds
 * @param timeLeftMs the time left until the request times out, in milliseconds
 */
public record HedgeCandidate(boolean idempotent, boolean resendable, int sends, int running, int maxSends, long ageMs,
		long timeLeftMs) {

	/**
	 * Tells whether the request may be hedged at all: only the first attempt of an
	 * idempotent request is hedged, and only if another one is allowed.
	 * @return {@code true} if a hedged request is possible
	 */
	public boolean isHedgeable() {
		return this.idempotent && this.resendable && this.sends == 1 && this.running == 1 && this.maxSends > this.sends
				&& this.timeLeftMs > 0;
	}

}
