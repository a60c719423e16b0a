package org.lovagevale.core.roster;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import org.lovagevale.base.VmName;

/**
 * Measures how long messages waited on their way, for instance on a link that was cut or
 * in a process that was frozen.
 *
 * <p>
 * Each message states the monotonic time of its sender. The difference to the own one is
 * constant but for the delay, so the smallest difference of the last minutes stands for
 * messages without delay. The first messages of a sender may all have waited; those that
 * waited for the same event arrive together, so their differences are unequal. The delay
 * is unknown until two messages with {@link #MIN_SPACING_MS} between them had nearly the
 * same difference. Invariant: there are at most {@link #MAX_SENDERS} senders. Not
 * thread-safe.
 */
public final class MessageDelays {

	/**
	 * Minimum time between the sending of two messages that show the difference of the
	 * clocks, in milliseconds.
	 */
	static final long MIN_SPACING_MS = 300;

	/** Greatest deviation between these two messages, in milliseconds. */
	static final long MAX_DEVIATION_MS = 100;

	/**
	 * Time after which the smallest difference is measured anew, in milliseconds; clocks
	 * drift by a few milliseconds meanwhile.
	 */
	static final long WINDOW_MS = 120_000;

	/** Maximum number of senders; more than send regularly. */
	static final int MAX_SENDERS = 1_000;

	private final Map<VmName, Sender> senders = new HashMap<>();

	/**
	 * Records a message.
	 * @param from the VM of its sender
	 * @param sentAt the monotonic time of the sender at which it was sent, in
	 * milliseconds
	 * @param now the own monotonic time, in milliseconds
	 * @return the time for which it waited, in milliseconds; empty if it is not known
	 */
	public OptionalLong record(VmName from, long sentAt, long now) {
		Sender known = this.senders.get(from);
		if (known == null || sentAt < known.lastSentAt) {
			// A clock that goes back belongs to another run of the VM.
			if (known == null && this.senders.size() >= MAX_SENDERS) {
				this.senders.values().removeIf((sender) -> now - sender.heardAt > WINDOW_MS);
				if (this.senders.size() >= MAX_SENDERS) {
					return OptionalLong.empty();
				}
			}
			known = new Sender(now);
			this.senders.put(from, known);
		}
		return known.record(sentAt, now);
	}

	/** The differences between the clocks of a sender and of this process. */
	private static final class Sender {

		private boolean familiar;

		private long heardAt;

		private long lastSentAt = Long.MIN_VALUE;

		private long lastDifference;

		private long windowStartedAt;

		private long smallest = Long.MAX_VALUE;

		private long formerSmallest = Long.MAX_VALUE;

		private Sender(long now) {
			this.windowStartedAt = now;
		}

		private OptionalLong record(long sentAt, long now) {
			if (now - this.windowStartedAt >= WINDOW_MS) {
				this.windowStartedAt = now;
				this.formerSmallest = this.smallest;
				this.smallest = Long.MAX_VALUE;
			}
			long difference = now - sentAt;
			this.smallest = Math.min(this.smallest, difference);
			boolean spaced = this.lastSentAt == Long.MIN_VALUE || sentAt - this.lastSentAt >= MIN_SPACING_MS;
			if (!this.familiar && spaced) {
				this.familiar = this.lastSentAt != Long.MIN_VALUE
						&& Math.abs(difference - this.lastDifference) <= MAX_DEVIATION_MS;
				this.lastSentAt = sentAt;
				this.lastDifference = difference;
			}
			else if (this.familiar) {
				this.lastSentAt = sentAt;
			}
			this.heardAt = now;
			if (!this.familiar) {
				return OptionalLong.empty();
			}
			return OptionalLong.of(difference - Math.min(this.smallest, this.formerSmallest));
		}

	}

}
