package org.lovagevale.core.placing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects requests that crash the servers that execute them.
 *
 * <p>
 * A connection that is lost before the response is a strike against the request. A
 * request is quarantined for {@link #QUARANTINE_MS} after {@link #STRIKES_TO_QUARANTINE}
 * strikes. Not thread-safe.
 */
public final class CrashSuspects {

	/** Number of strikes after which a request is quarantined. */
	static final int STRIKES_TO_QUARANTINE = 2;

	/**
	 * Time after the last strike for which the strikes of a request are remembered, in
	 * milliseconds; also the duration of a quarantine.
	 */
	static final long QUARANTINE_MS = 60_000;

	/** Maximum number of remembered requests; the oldest are evicted to bound memory. */
	private static final int MAX_REMEMBERED_REQUESTS = 2_000;

	private final Map<Long, Strikes> byFingerprint = new LinkedHashMap<>();

	/**
	 * Counts a connection that was lost before the response.
	 * @param fingerprint the fingerprint of the request
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if this strike puts the request into quarantine
	 */
	public boolean strike(long fingerprint, long now) {
		Strikes known = this.byFingerprint.remove(fingerprint);
		int count = (known == null || now - known.lastAt() > QUARANTINE_MS) ? 1 : known.count() + 1;
		this.byFingerprint.put(fingerprint, new Strikes(count, now));
		if (this.byFingerprint.size() > MAX_REMEMBERED_REQUESTS) {
			this.byFingerprint.remove(this.byFingerprint.keySet().iterator().next());
		}
		return count == STRIKES_TO_QUARANTINE;
	}

	/**
	 * Tells whether a request is in quarantine and must not be sent.
	 * @param fingerprint the fingerprint of the request
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if it is in quarantine
	 */
	public boolean isQuarantined(long fingerprint, long now) {
		Strikes known = this.byFingerprint.get(fingerprint);
		return known != null && known.count() >= STRIKES_TO_QUARANTINE && now - known.lastAt() <= QUARANTINE_MS;
	}

	/**
	 * Tells whether a connection was lost while the request was running, so that it may
	 * have crashed a server.
	 * @param fingerprint the fingerprint of the request
	 * @return {@code true} if there is a strike
	 */
	public boolean isSuspect(long fingerprint) {
		return this.byFingerprint.containsKey(fingerprint);
	}

	/**
	 * Clears the strikes of a request that got a response.
	 * @param fingerprint the fingerprint of the request
	 */
	public void clear(long fingerprint) {
		this.byFingerprint.remove(fingerprint);
	}

	/**
	 * The strikes of one request.
	 *
	 * @param count the number of strikes
	 * @param lastAt the monotonic time of the last one, in milliseconds
	 */
	private record Strikes(int count, long lastAt) {
	}

}
