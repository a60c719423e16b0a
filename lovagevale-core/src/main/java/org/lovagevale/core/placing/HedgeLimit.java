package org.lovagevale.core.placing;

/**
 * Limits the hedged requests of a service to a share of its first attempts.
 *
 * <p>
 * Invariant: after any number of first attempts, at most their share and
 * {@link #MAX_SAVED} hedged requests were permitted, also in any window. A limit starts
 * empty, so dispatchers that replace each other permit no more in total. Not thread-safe.
 */
final class HedgeLimit {

	/** Maximum number of hedged requests that unused shares are saved up for. */
	static final double MAX_SAVED = 5;

	private final double share;

	private double saved;

	HedgeLimit(double share) {
		this.share = share;
	}

	/**
	 * Tells whether hedged requests are enabled.
	 * @return {@code false} if the share is 0
	 */
	boolean isEnabled() {
		return this.share > 0;
	}

	void recordFirstSend() {
		this.saved = Math.min(MAX_SAVED, this.saved + this.share);
	}

	/**
	 * Takes back a first attempt that was not made.
	 */
	void recordUnusedFirstSend() {
		this.saved -= this.share;
	}

	boolean isAvailable() {
		return this.saved >= 1;
	}

	void consume() {
		this.saved--;
	}

	/**
	 * Takes back a hedged request that was not sent.
	 */
	void recordUnused() {
		this.saved = Math.min(MAX_SAVED, this.saved + 1);
	}

}
