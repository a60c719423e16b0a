package org.lovagevale.core.keys;

import java.util.ArrayDeque;
import java.util.Deque;

import org.lovagevale.base.Clock;
import org.lovagevale.settings.model.KeySettings;

/**
 * The key epochs of one incarnation: the current one, the sealed ones and the expired
 * ones.
 *
 * <p>
 * Invariant: none of the three numbers ever decreases, whatever the settings. Epochs
 * expire by time and not by count, because sealing shortens epochs. Not thread-safe.
 */
final class KeyEpochs {

	/**
	 * Parts of an epoch within which sealed epochs share one end time. It bounds the
	 * memory for epochs when every refusal seals one.
	 */
	private static final int SEAL_PARTS = 8;

	private final Clock clock;

	private final Deque<Ended> ended = new ArrayDeque<>();

	private KeySettings settings = KeySettings.defaults();

	private long current;

	private long startedAt;

	private long sealedThrough = -1;

	private long expiredThrough = -1;

	private boolean closed;

	KeyEpochs(Clock clock) {
		this.clock = clock;
		this.startedAt = clock.millis();
	}

	void configure(KeySettings settings) {
		advance();
		this.settings = settings;
	}

	long current() {
		return this.current;
	}

	boolean isExpired(long epoch) {
		return epoch <= this.expiredThrough;
	}

	boolean isFuture(long epoch) {
		return epoch > this.current;
	}

	boolean isSealed(long epoch) {
		return this.closed || epoch <= this.sealedThrough;
	}

	boolean isClosed() {
		return this.closed;
	}

	long expiredThrough() {
		return this.expiredThrough;
	}

	/**
	 * Moves on to the epoch of the current time.
	 */
	void advance() {
		long now = this.clock.millis();
		long epochMs = Math.max(1, this.settings.epochMs());
		while (now - this.startedAt >= epochMs) {
			end(this.startedAt + epochMs, 0);
		}
		long validMs = validMs();
		while (!this.ended.isEmpty() && now - this.ended.getFirst().at() > validMs) {
			this.expiredThrough = this.ended.removeFirst().epoch();
		}
	}

	/**
	 * Seals the current epoch and all earlier ones, and begins a new one.
	 */
	void seal() {
		this.sealedThrough = this.current;
		end(this.clock.millis(), Math.max(1, this.settings.epochMs()) / SEAL_PARTS);
	}

	/**
	 * Seals every epoch, also those to come.
	 */
	void close() {
		this.closed = true;
	}

	/**
	 * Returns how long an epoch that ends now can still be asked for.
	 * @return the time in milliseconds
	 */
	long validMs() {
		return Math.max(1, this.settings.epochMs()) * Math.max(1, this.settings.validEpochs());
	}

	private void end(long at, long shareMs) {
		Ended last = this.ended.peekLast();
		if (last != null && at - last.firstAt() < shareMs) {
			this.ended.removeLast();
			this.ended.addLast(new Ended(this.current, last.firstAt(), at));
		}
		else {
			this.ended.addLast(new Ended(this.current, at, at));
		}
		this.current++;
		this.startedAt = at;
	}

	/**
	 * Epochs that ended at about the same time.
	 *
	 * @param epoch the last of them
	 * @param firstAt when the first of them ended in monotonic milliseconds
	 * @param at when the last of them ended in monotonic milliseconds
	 */
	private record Ended(long epoch, long firstAt, long at) {

	}

}
