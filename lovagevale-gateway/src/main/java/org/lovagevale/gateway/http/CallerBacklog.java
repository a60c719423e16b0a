package org.lovagevale.gateway.http;

import io.netty.channel.Channel;
import org.lovagevale.core.memory.HeldKind;
import org.lovagevale.core.memory.MemoryAccount;
import org.lovagevale.core.memory.MemoryReservation;

/**
 * What was written to the connection of a caller and not yet taken by the operating
 * system.
 *
 * <p>
 * Invariant: all of it is accounted for, and it can be evicted only while the caller has
 * taken nothing for some time, or the limit of the account is exceeded by half. Confined
 * to the event loop.
 */
final class CallerBacklog {

	/**
	 * Time in milliseconds for which a caller may take nothing before its backlog can be
	 * evicted. It covers several retransmissions of a lost packet, and a caller that
	 * makes room for a large packet at 1 Mbit/s.
	 */
	private static final long STALL_MS = 2_000;

	/**
	 * The same while the account is overfull, in milliseconds.
	 */
	private static final long OVERFULL_STALL_MS = 500;

	/**
	 * Share of the limit from which each backlog can be evicted. The direct memory has
	 * room for that.
	 */
	private static final double MAX_HELD_SHARE = 1.5;

	private final MemoryAccount account;

	private final MemoryReservation moving;

	private final MemoryReservation stalled;

	private long bytes;

	private long progress;

	/** Monotonic time in milliseconds at which the caller last took a part. */
	private long takenAt;

	/**
	 * Creates a backlog that is empty.
	 * @param account the account of the bytes held for responses
	 * @param eviction closes the connection
	 */
	CallerBacklog(MemoryAccount account, Runnable eviction) {
		this.account = account;
		this.moving = account.reserve(HeldKind.RESPONSE_BODY, 0);
		this.stalled = account.reserveEvictable(HeldKind.RESPONSE_BODY, eviction);
	}

	/**
	 * Records the current size of the backlog.
	 * @param channel the channel of the connection
	 * @param now the monotonic time in milliseconds
	 */
	void update(Channel channel, long now) {
		long pendingBytes = PendingWrites.bytesOf(channel);
		long newProgress = PendingWrites.progressOf(channel);
		if (this.bytes == 0 || pendingBytes < this.bytes || newProgress != this.progress) {
			this.takenAt = now;
		}
		this.bytes = pendingBytes;
		this.progress = newProgress;
		boolean evictable = isStalled(channel, now);
		this.moving.resize(evictable ? 0 : pendingBytes);
		this.stalled.resize(evictable ? pendingBytes : 0);
	}

	private boolean isStalled(Channel channel, long now) {
		if (this.account.heldBytes() >= this.account.limitBytes() * MAX_HELD_SHARE) {
			return true;
		}
		long maxStallMs = this.account.isOverfull() ? OVERFULL_STALL_MS : STALL_MS;
		if (untakenMs(now) >= maxStallMs) {
			long sentAgoMs = PendingWrites.sentAgoMs(channel);
			this.takenAt = Math.max(this.takenAt, now - Math.min(now, sentAgoMs));
		}
		return untakenMs(now) >= maxStallMs;
	}

	/**
	 * Records that the caller has taken a part.
	 * @param now the monotonic time in milliseconds
	 */
	void recordTaken(long now) {
		this.takenAt = now;
	}

	/**
	 * Tells whether everything was taken.
	 * @return {@code true} if nothing is pending
	 */
	boolean isEmpty() {
		return this.bytes == 0;
	}

	/**
	 * Returns for how long the caller has taken nothing of the backlog.
	 * @param now the monotonic time in milliseconds
	 * @return the time in milliseconds, 0 if nothing is pending
	 */
	long untakenMs(long now) {
		return (this.bytes == 0) ? 0 : now - this.takenAt;
	}

}
