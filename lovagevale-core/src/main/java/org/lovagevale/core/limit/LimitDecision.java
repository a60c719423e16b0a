package org.lovagevale.core.limit;

/**
 * Whether a request is within the rate limit of its account, which may be decided later.
 *
 * <p>
 * Invariant: it is decided at most once. Not thread-safe.
 */
public final class LimitDecision {

	private State state;

	private long retryAfterMs;

	private Runnable listener = () -> {
	};

	private Runnable tokenReturn = () -> {
	};

	private LimitDecision(State state) {
		this.state = state;
	}

	/**
	 * Creates a decision that admits a request.
	 * @return the decision
	 */
	public static LimitDecision admitted() {
		return new LimitDecision(State.ADMITTED);
	}

	static LimitDecision refused(long retryAfterMs) {
		LimitDecision decision = new LimitDecision(State.REFUSED);
		decision.retryAfterMs = retryAfterMs;
		return decision;
	}

	static LimitDecision pending() {
		return new LimitDecision(State.PENDING);
	}

	/**
	 * Sets what returns the token with which the request is admitted.
	 * @param action returns the token
	 */
	void setTokenReturn(Runnable action) {
		this.tokenReturn = action;
	}

	/**
	 * Returns the token of a request that ended without having been sent. Does nothing if
	 * it has none or has returned it.
	 */
	public void returnToken() {
		Runnable action = this.tokenReturn;
		this.tokenReturn = () -> {
		};
		action.run();
	}

	void admit() {
		decide(State.ADMITTED);
	}

	void refuse(long delayMs) {
		this.retryAfterMs = delayMs;
		decide(State.REFUSED);
	}

	private void decide(State result) {
		if (this.state != State.PENDING) {
			throw new IllegalStateException("decision is " + this.state);
		}
		this.state = result;
		this.listener.run();
	}

	/**
	 * Tells whether the request is admitted.
	 * @return {@code true} if it is
	 */
	public boolean isAdmitted() {
		return this.state == State.ADMITTED;
	}

	/**
	 * Tells whether the request is refused.
	 * @return {@code true} if it is
	 */
	public boolean isRefused() {
		return this.state == State.REFUSED;
	}

	/**
	 * Returns the time after which a refused request may be sent again.
	 * @return the time in milliseconds
	 */
	public long retryAfterMs() {
		return this.retryAfterMs;
	}

	/**
	 * Sets the listener that is called when the request is decided, at once if it is.
	 * @param newListener the listener
	 */
	public void onDecided(Runnable newListener) {
		this.listener = newListener;
		if (this.state != State.PENDING) {
			newListener.run();
		}
	}

	/**
	 * A state of a decision.
	 */
	private enum State {

		PENDING, ADMITTED, REFUSED

	}

}
