package org.lovagevale.standins.caller;

import java.util.Map;

import org.lovagevale.standins.http.ReceivedBody;

/**
 * How a call ended.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param status the status of the last answer, 0 if there was none
 * @param headers the headers of the last answer, with names in lower case
 * @param body the body of the last answer
 * @param address the VM that was asked last
 * @param key the last idempotency key, empty if none
 * @param attempts requests that were sent
 * @param failure why there was no answer, empty if there was one
 */
public record CallResult(int status, Map<String, String> headers, ReceivedBody body, EntryAddress address, String key,
		int attempts, String failure) {

	/** A body without content. */
	static final ReceivedBody NO_BODY = new ReceivedBody(0, "", "");

	private static final int MIN_SUCCESS_STATUS = 200;

	private static final int MIN_REDIRECT_STATUS = 300;

	/**
	 * Copies the map.
	 */
	public CallResult {
		headers = Map.copyOf(headers);
	}

	static CallResult failed(EntryAddress address, String key, int attempts, String failure) {
		return new CallResult(0, Map.of(), NO_BODY, address, key, attempts, failure);
	}

	/**
	 * Tells whether the call was answered with success.
	 * @return {@code true} for a status from 200 to 299
	 */
	public boolean isSuccess() {
		return this.status >= MIN_SUCCESS_STATUS && this.status < MIN_REDIRECT_STATUS;
	}

	/**
	 * Returns what the entry process says about the execution.
	 * @return ran, not-run, unknown, running, or empty if it says nothing
	 */
	public String outcome() {
		return header("lovagevale-outcome");
	}

	/**
	 * Returns the reason of a rejection.
	 * @return the code, empty if there is none
	 */
	public String reason() {
		return header("lovagevale-reason");
	}

	/**
	 * Returns a header of the last answer.
	 * @param name its name in lower case
	 * @return the value, empty if there is none
	 */
	public String header(String name) {
		return this.headers.getOrDefault(name, "");
	}

	CallResult withAttempts(int count) {
		return new CallResult(this.status, this.headers, this.body, this.address, this.key, count, this.failure);
	}

}
