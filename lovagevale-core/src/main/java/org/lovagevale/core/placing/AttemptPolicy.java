package org.lovagevale.core.placing;

import org.lovagevale.core.catalog.RequestKind;

/**
 * Decides whether a request is sent to another server after a failed attempt.
 *
 * <p>
 * Invariant: a request that is not repeatable is sent again only if no server can have
 * executed it. Not thread-safe; each request has its own instance.
 */
public final class AttemptPolicy {

	/**
	 * Number of unreachable servers up to which the request is still sent to another one.
	 * They are bounded separately because they do not count as sends.
	 */
	private static final int MAX_UNREACHABLE_SERVERS = 3;

	/** Remaining time below which another send is not worthwhile, in milliseconds. */
	private static final int MIN_TIME_LEFT_MS = 30;

	private final RequestKind kind;

	private final int maxSends;

	private int sends;

	private int sendsByOthers;

	private int unreachableServers;

	private boolean mayHaveRun;

	/**
	 * Creates the policy of one request.
	 * @param kind tells whether the request may be executed more than once
	 * @param maxSends the maximum number of servers that the request is sent to
	 */
	public AttemptPolicy(RequestKind kind, int maxSends) {
		this.kind = kind;
		this.maxSends = Math.max(1, maxSends);
	}

	/**
	 * Returns the number of servers that this process sent the request to.
	 * @return the number
	 */
	public int sends() {
		return this.sends;
	}

	/**
	 * Tells whether a server may have executed the request.
	 * @return {@code true} if a server may have executed it
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * Records that the request is being written to a server.
	 */
	public void recordSend() {
		this.sends++;
	}

	/**
	 * Records to how many servers other entry VMs have sent the request.
	 * @param count the number of servers, added to those recorded before
	 */
	public void recordSendsByOthers(int count) {
		this.sendsByOthers += count;
	}

	/**
	 * Returns the number of servers that the request was sent to by this and other entry
	 * VMs.
	 * @return the number
	 */
	public int totalSends() {
		return this.sends + this.sendsByOthers;
	}

	/**
	 * Returns the purpose of the next send.
	 * @return the purpose
	 */
	public SendPurpose nextPurpose() {
		return (totalSends() == 0) ? SendPurpose.FIRST : SendPurpose.RETRY;
	}

	/**
	 * Decides what to do after an attempt without a usable response.
	 * @param outcome the outcome of the attempt
	 * @param replayable whether the whole request, including its body, is still buffered
	 * @param timeLeftMs the time left for a response, in milliseconds
	 * @return the next step
	 */
	public NextStep nextStep(SlotOutcome outcome, boolean replayable, long timeLeftMs) {
		switch (outcome) {
			case FAILED, LOST, SERVED, ABANDONED -> this.mayHaveRun = true;
			case UNREACHABLE -> this.unreachableServers++;
			case NOT_EXECUTED, REPLACED, UNUSED -> {
			}
		}
		boolean safe = !this.mayHaveRun || this.kind.isRepeatable();
		boolean attemptsLeft = totalSends() < this.maxSends && this.unreachableServers <= MAX_UNREACHABLE_SERVERS;
		if (safe && attemptsLeft && replayable && timeLeftMs > MIN_TIME_LEFT_MS) {
			return NextStep.SEND_AGAIN;
		}
		return this.mayHaveRun ? NextStep.ANSWER_FAILED : NextStep.ANSWER_NOT_RUN;
	}

}
