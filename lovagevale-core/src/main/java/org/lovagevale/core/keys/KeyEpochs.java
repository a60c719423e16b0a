package org.lovagevale.core.keys;

import java.util.ArrayDeque;
import java.util.Deque;

import org.lovagevale.base.Clock;
import org.lovagevale.settings.model.KeySettings;

/**
 * Tracks the key epochs of one incarnation: which epoch is current, up to which epoch
 * they are sealed, and up to which epoch they have expired.
 *
 * <p>
 * A sealed epoch accepts no unseen key. Nothing is known any more about the keys of an
 * expired epoch.
 *
 * <p>
 * Invariant: the numbers of the current epoch, of the last sealed epoch and of the last
 * expired epoch never decrease, whatever the settings. Epochs expire by time and not by
 * count, because sealing an epoch ends it early. Not thread-safe.
 */
final class KeyEpochs {

	/**
	 * Number of parts into which the length of an epoch is divided to group sealed
	 * epochs. Epochs sealed within one such part share one entry and one end time, which
	 * bounds the memory for ended epochs when every refused key seals an epoch.
	 */
	private static final int SEAL_GROUPS_PER_EPOCH = 8;

	private final Clock clock;

	private final Deque<EndedEpochs> endedEpochs = new ArrayDeque<>();

	private KeySettings settings = KeySettings.defaults();

	private long current;

	private long currentStartedAt;

	private long sealedThrough = -1;

	private long expiredThrough = -1;

	private boolean closed;

	KeyEpochs(Clock clock) {
		this.clock = clock;
		this.currentStartedAt = clock.millis();
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
	 * Ends the epochs whose length has passed, and expires the ended epochs that are no
	 * longer valid.
	 */
	void advance() {
		long now = this.clock.millis();
		long epochMs = Math.max(1, this.settings.epochMs());
		while (now - this.currentStartedAt >= epochMs) {
			endCurrent(this.currentStartedAt + epochMs, 0);
		}
		long validMs = validMs();
		while (!this.endedEpochs.isEmpty() && now - this.endedEpochs.getFirst().lastEndedAt() > validMs) {
			this.expiredThrough = this.endedEpochs.removeFirst().lastEpoch();
		}
	}

	/**
	 * Seals the current epoch and all earlier ones, and starts a new epoch.
	 */
	void seal() {
		this.sealedThrough = this.current;
		endCurrent(this.clock.millis(), Math.max(1, this.settings.epochMs()) / SEAL_GROUPS_PER_EPOCH);
	}

	/**
	 * Seals all epochs permanently, including future ones.
	 */
	void close() {
		this.closed = true;
	}

	/**
	 * Returns how long the keys of an epoch are remembered after the epoch has ended.
	 * @return the duration in milliseconds
	 */
	long validMs() {
		return Math.max(1, this.settings.epochMs()) * Math.max(1, this.settings.validEpochs());
	}

	private void endCurrent(long endedAt, long groupMs) {
		EndedEpochs last = this.endedEpochs.peekLast();
		if (last != null && endedAt - last.firstEndedAt() < groupMs) {
			this.endedEpochs.removeLast();
			this.endedEpochs.addLast(new EndedEpochs(this.current, last.firstEndedAt(), endedAt));
		}
		else {
			this.endedEpochs.addLast(new EndedEpochs(this.current, endedAt, endedAt));
		}
		this.current++;
		this.currentStartedAt = endedAt;
	}

	/**
	 * A group of consecutive epochs that ended at about the same time.
	 *
	 * @param lastEpoch the number of the last epoch of the group
	 * @param firstEndedAt when the first epoch ended, in monotonic milliseconds
	 * @param lastEndedAt when the last epoch ended, in monotonic milliseconds
	 */
	private record EndedEpochs(long lastEpoch, long firstEndedAt, long lastEndedAt) {

	}

}
