package org.lovagevale.core.response;

/**
 * What follows for a response that is not complete at the timeout of its request.
 *
 * <p>
 * Immutable and thread-safe.
 */
public sealed interface LateResponseStep {

	/**
	 * Pass the response on and decide again.
	 *
	 * @param delayMs the time until then, in milliseconds
	 */
	record AwaitMore(long delayMs) implements LateResponseStep {

		/**
		 * Creates the step.
		 * @param delayMs the time until the next decision, in milliseconds
		 */
		public AwaitMore {
			if (delayMs <= 0) {
				throw new IllegalArgumentException("delay of " + delayMs + " ms");
			}
		}

	}

	/**
	 * End the response, so that it does not look complete.
	 *
	 * @param cause why it is ended
	 */
	record EndResponse(LateResponseCause cause) implements LateResponseStep {
	}

}
