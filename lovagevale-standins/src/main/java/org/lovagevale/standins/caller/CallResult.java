package org.lovagevale.standins.caller;

import java.util.Map;

import org.lovagevale.standins.http.ReceivedBody;

/**
 * The result of a call.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param status the HTTP status of the last response, 0 if there was no response
 * @param headers the headers of the last response, with names in lower case
 * @param body the body of the last response
 * @param address the VM to which the last request was sent
 * @param key the last idempotency key used, empty if none
 * @param attempts number of requests sent
 * @param failure the reason why there was no response, empty if there was one
 */
public record CallResult(int status, Map<String, String> headers, ReceivedBody body, EntryAddress address, String key,
		int attempts, String failure) {

	/** The body of a result without a response. */
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
	 * Returns whether the call succeeded.
	 * @return {@code true} for a status from 200 to 299
	 */
	public boolean isSuccess() {
		return this.status >= MIN_SUCCESS_STATUS && this.status < MIN_REDIRECT_STATUS;
	}

	/**
	 * Returns the outcome that the entry process reported.
	 * @return {@code ran}, {@code not-run}, {@code unknown}, {@code running}, or empty if
	 * it reports none
	 */
	public String outcome() {
		return header("lovagevale-outcome");
	}

	/**
	 * Returns the reason for a rejection.
	 * @return the reason code, empty if there is none
	 */
	public String reason() {
		return header("lovagevale-reason");
	}

	/**
	 * Returns a header of the last response.
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
