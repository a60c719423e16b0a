package org.lovagevale.core.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

import org.lovagevale.core.Fingerprint;

/**
 * The connections that a backend server lost within the last second.
 *
 * <p>
 * Tells a backend server that died by itself from one that a request crashed. Not
 * thread-safe.
 */
final class LostConnections {

	private static final long WINDOW_MS = 1_000;

	private static final int MOST_LOSSES = 64;

	private final Deque<Loss> losses = new ArrayDeque<>();

	/**
	 * Records a loss.
	 * @param fingerprint the request that ran on the connection
	 * @param now the monotonic time in milliseconds
	 */
	void add(Fingerprint fingerprint, long now) {
		if (this.losses.size() == MOST_LOSSES) {
			this.losses.removeFirst();
		}
		this.losses.addLast(new Loss(fingerprint, now));
	}

	/**
	 * Counts the fingerprints among the losses.
	 * @param now the monotonic time in milliseconds
	 * @return the number of different fingerprints within the last second
	 */
	int fingerprints(long now) {
		while (!this.losses.isEmpty() && now - this.losses.getFirst().at() > WINDOW_MS) {
			this.losses.removeFirst();
		}
		Set<Fingerprint> different = new HashSet<>();
		for (Loss loss : this.losses) {
			different.add(loss.fingerprint());
		}
		return different.size();
	}

	private record Loss(Fingerprint fingerprint, long at) {
	}

}
