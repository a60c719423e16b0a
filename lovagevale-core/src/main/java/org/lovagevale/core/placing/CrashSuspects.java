package org.lovagevale.core.placing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recognizes requests that crash the servers that run them.
 *
 * <p>
 * A request whose connection was lost {@link #STRIKES} times before a response is
 * rejected for {@link #QUARANTINE_MS}. Not thread-safe.
 */
public final class CrashSuspects {

	/** Losses after which a request is not sent again. */
	static final int STRIKES_TO_QUARANTINE = 2;

	/** How long losses are remembered, in milliseconds. */
	static final long QUARANTINE_MS = 60_000;

	/** Bound of the memory taken; the oldest are forgotten. */
	private static final int MAX_REMEMBERED = 2_000;

	private final Map<Long, Strikes> byFingerprint = new LinkedHashMap<>();

	/**
	 * Counts a loss.
	 * @param fingerprint the request
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if the request is in quarantine from now on
	 */
	public boolean strike(long fingerprint, long now) {
		Strikes known = this.byFingerprint.remove(fingerprint);
		int count = (known == null || now - known.lastAt() > QUARANTINE_MS) ? 1 : known.count() + 1;
		this.byFingerprint.put(fingerprint, new Strikes(count, now));
		if (this.byFingerprint.size() > MAX_REMEMBERED) {
			this.byFingerprint.remove(this.byFingerprint.keySet().iterator().next());
		}
		return count == STRIKES_TO_QUARANTINE;
	}

	/**
	 * Tells whether a request is not to be sent.
	 * @param fingerprint the request
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if it is in quarantine
	 */
	public boolean isQuarantined(long fingerprint, long now) {
		Strikes known = this.byFingerprint.get(fingerprint);
		return known != null && known.count() >= STRIKES_TO_QUARANTINE && now - known.lastAt() <= QUARANTINE_MS;
	}

	/**
	 * Forgets the losses of a request that got a response.
	 * @param fingerprint the request
	 */
	public void clear(long fingerprint) {
		this.byFingerprint.remove(fingerprint);
	}

	/**
	 * Losses of one request.
	 *
	 * @param count how many
	 * @param lastAt the monotonic time of the last one, in milliseconds
	 */
	private record Strikes(int count, long lastAt) {
	}

}
