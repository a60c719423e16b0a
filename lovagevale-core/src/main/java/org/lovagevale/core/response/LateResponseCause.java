package org.lovagevale.core.response;

/**
 * Why a response is ended before its end.
 *
 * <p>
 * Immutable and thread-safe.
 */
public enum LateResponseCause {

	/** The server sends nothing more. */
	STALLED("response stalled", true),

	/** The server goes on sending. */
	OVERLONG("response not ended after the timeout", true),

	/** The caller took the response slowly and no longer waits for it. */
	CALLER_DEADLINE("response not taken by the deadline of the caller", false);

	private final String description;

	private final boolean serverFailure;

	LateResponseCause(String description, boolean serverFailure) {
		this.description = description;
		this.serverFailure = serverFailure;
	}

	/**
	 * Returns the cause in words, as used in logs.
	 * @return the description
	 */
	public String description() {
		return this.description;
	}

	/**
	 * Tells whether the server failed.
	 * @return {@code false} if the caller is the reason
	 */
	public boolean isServerFailure() {
		return this.serverFailure;
	}

}
