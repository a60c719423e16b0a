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
 * constant but for the delay, so the smallest difference stands for messages without
 * delay. Messages that waited for the same event arrive together, so their differences
 * are unequal. Two messages with {@link #MIN_SPACING_MS} between them and nearly the same
 * difference therefore show that of the clocks: before there were such, the delay is
 * unknown, and if theirs is greater than the smallest one, a clock was suspended. A
 * constant delay that sets in later is taken for that after two messages. Invariant:
 * there are at most {@link #MAX_SENDERS} senders. Not thread-safe.
 */
public final class MessageDelays {

	/**
	 * Minimum time between the sending of two messages that show the difference of the
	 * clocks, in milliseconds.
	 */
	static final long MIN_SPACING_MS = 300;

	/** Greatest deviation between these two messages, in milliseconds. */
	static final long MAX_DEVIATION_MS = 100;

	/** Maximum number of senders; more than send regularly. */
	static final int MAX_SENDERS = 1_000;

	/**
	 * Time after which a sender that is not heard may be forgotten, in milliseconds.
	 */
	static final long FORGET_MS = 120_000;

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
		if (known == null) {
			if (this.senders.size() >= MAX_SENDERS) {
				this.senders.values().removeIf((sender) -> now - sender.heardAt > FORGET_MS);
			}
			if (this.senders.size() >= MAX_SENDERS) {
				return OptionalLong.empty();
			}
			known = new Sender();
			this.senders.put(from, known);
		}
		return known.record(sentAt, now);
	}

	/** The differences between the clocks of a sender and of this process. */
	private static final class Sender {

		private long heardAt;

		private long lastSentAt = Long.MIN_VALUE;

		/** Time of sending and difference of the last message that was compared. */
		private long comparedSentAt;

		private long comparedDifference;

		private long smallest;

		private boolean known;

		private OptionalLong record(long sentAt, long now) {
			long difference = now - sentAt;
			// A clock that goes back belongs to another run of the VM.
			if (sentAt < this.lastSentAt || this.lastSentAt == Long.MIN_VALUE) {
				this.known = false;
				this.smallest = difference;
				this.comparedSentAt = sentAt;
				this.comparedDifference = difference;
			}
			else if (sentAt - this.comparedSentAt >= MIN_SPACING_MS) {
				compare(difference);
				this.comparedSentAt = sentAt;
				this.comparedDifference = difference;
			}
			this.smallest = Math.min(this.smallest, difference);
			this.lastSentAt = sentAt;
			this.heardAt = now;
			return this.known ? OptionalLong.of(difference - this.smallest) : OptionalLong.empty();
		}

		private void compare(long difference) {
			if (Math.abs(difference - this.comparedDifference) <= MAX_DEVIATION_MS) {
				this.known = true;
				long common = Math.min(difference, this.comparedDifference);
				if (common - this.smallest > MAX_DEVIATION_MS) {
					this.smallest = common;
				}
			}
		}

	}

}
