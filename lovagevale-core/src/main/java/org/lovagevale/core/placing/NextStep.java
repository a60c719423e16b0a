package org.lovagevale.core.placing;

/**
 * The next step after an attempt that brought no usable response.
 *
 * <p>
 * Immutable and thread-safe.
 */
public enum NextStep {

	/** Request a slot of another server. */
	SEND_AGAIN,

	/** Answer the caller that the request was not and will not be executed. */
	ANSWER_NOT_RUN,

	/** Answer the caller that the request failed and may have been executed. */
	ANSWER_FAILED

}
