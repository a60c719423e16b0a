package org.lovagevale.core.placing;

import org.lovagevale.core.catalog.RequestKind;

/**
 * Decides whether a request is sent to a further server.
 *
 * <p>
 * Invariant: a request that is not repeatable is sent again only if no server can have
 * run it. Not thread-safe; one object serves one request.
 */
public final class AttemptPolicy {

	/** Servers that cannot be reached do not count as sent to, but are bounded too. */
	private static final int MAX_UNREACHABLE = 3;

	/** The least time that is worth a further send, in milliseconds. */
	private static final int MIN_TIME_LEFT_MS = 30;

	private final RequestKind kind;

	private final int maxSends;

	private int sends;

	private int unreachable;

	private boolean mayHaveRun;

	/**
	 * Creates the policy of one request.
	 * @param kind what may be repeated
	 * @param maxSends the most servers that it is sent to
	 */
	public AttemptPolicy(RequestKind kind, int maxSends) {
		this.kind = kind;
		this.maxSends = Math.max(1, maxSends);
	}

	/**
	 * Returns the number of servers that the request was sent to.
	 * @return the number
	 */
	public int sends() {
		return this.sends;
	}

	/**
	 * Tells whether a server may have run the request.
	 * @return {@code true} if one may
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * Notes that the request is written to a server.
	 */
	public void recordSend() {
		this.sends++;
	}

	/**
	 * Decides after a send that brought no usable response.
	 * @param outcome what became of it
	 * @param replayable whether the whole request is still held
	 * @param timeLeftMs the time left for a response, in milliseconds
	 * @return the next step
	 */
	public NextStep nextStep(SlotOutcome outcome, boolean replayable, long timeLeftMs) {
		switch (outcome) {
			case FAILED, LOST, SERVED, ABANDONED -> this.mayHaveRun = true;
			case UNREACHABLE -> this.unreachable++;
			case NOT_EXECUTED, REPLACED, UNUSED -> {
			}
		}
		boolean safe = !this.mayHaveRun || this.kind.isRepeatable();
		boolean counted = this.sends < this.maxSends && this.unreachable <= MAX_UNREACHABLE;
		if (safe && counted && replayable && timeLeftMs > MIN_TIME_LEFT_MS) {
			return NextStep.SEND_AGAIN;
		}
		return this.mayHaveRun ? NextStep.ANSWER_FAILED : NextStep.ANSWER_NOT_RUN;
	}

}
