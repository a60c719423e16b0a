package org.lovagevale.core.memory;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

import org.lovagevale.base.Clock;

/**
 * Accounts for the bytes that a process holds for requests or for responses, and decides
 * which requests are accepted, whether further bytes are read and what is given up.
 *
 * <p>
 * A request is accepted only if all bytes that it announces fit. So the accepted requests
 * can be read completely, instead of blocking each other halfway. What was not announced,
 * such as a head that has arrived in part, can be evicted: the largest holders give up
 * theirs first, so that a sound message, which is small, is kept beside any number of
 * large ones. A part of the limit may be set up to which all of it is kept, however much
 * is held otherwise.
 *
 * <p>
 * Invariants: the held bytes exceed the limit at most by bytes that were not announced
 * and had been read before reading stopped; they are 0 once all reservations are
 * released. Messages between processes and reads of the platform are not accounted, so
 * they are never rejected for the bytes of callers. Not thread-safe.
 */
public final class MemoryAccount {

	/**
	 * Share of the limit up to which large requests are accepted. The rest is left for
	 * the small ones, which most callers send.
	 */
	private static final double LARGE_REQUEST_SHARE = 0.75;

	/**
	 * Share of the limit up to which large requests are accepted if their route does not
	 * have the highest priority.
	 */
	private static final double LESS_IMPORTANT_SHARE = 0.65;

	/** Size up to which a request counts as small, in bytes. */
	private static final long MAX_SMALL_REQUEST_BYTES = 4_096;

	/**
	 * Share of the limit from which received bytes are not decoded any more. Up to it, a
	 * request that was read before reading stopped is still rejected at once.
	 */
	private static final double OVERFULL_SHARE = 1.1;

	/** Share of the limit down to which reservations are evicted once it is reached. */
	private static final double EVICTION_TARGET_SHARE = 0.9;

	/** Factor by which earlier releases lose weight in the mean holding time. */
	private static final double HOLDING_TIME_DECAY = 0.95;

	private static final int MIN_RETRY_AFTER_MS = 200;

	private final Clock clock;

	private final long limitBytes;

	/** Size up to which reservations are not evicted, for all of them together. */
	private final long keptEvictableBytes;

	private final long[] heldByKind = new long[HeldKind.values().length];

	/** The reservations that can be evicted and are not empty. */
	private final Set<MemoryReservation> evictable = new LinkedHashSet<>();

	private long heldBytes;

	private long evictableBytes;

	/** Whether reservations are being evicted. */
	private boolean evicting;

	private double releasedBytes;

	private double releasedByteMillis;

	/**
	 * Creates an account that is empty.
	 * @param clock the source of the current time
	 * @param limitBytes the limit on the held bytes
	 */
	public MemoryAccount(Clock clock, long limitBytes) {
		this(clock, limitBytes, 0);
	}

	/**
	 * Creates an account that is empty.
	 * @param clock the source of the current time
	 * @param limitBytes the limit on the held bytes
	 * @param keptEvictableBytes the size up to which what can be evicted is kept, in
	 * bytes; it may exceed the limit by that
	 */
	public MemoryAccount(Clock clock, long limitBytes, long keptEvictableBytes) {
		if (limitBytes <= 0) {
			throw new IllegalArgumentException("limit of " + limitBytes + " bytes, expected at least 1");
		}
		if (keptEvictableBytes < 0) {
			throw new IllegalArgumentException("negative size " + keptEvictableBytes);
		}
		this.clock = clock;
		this.limitBytes = limitBytes;
		this.keptEvictableBytes = keptEvictableBytes;
	}

	/**
	 * Decides whether a new request is accepted. What can be evicted does not count.
	 * @param requestBytes the size of its head and the announced size of its body, in
	 * bytes
	 * @param priority the priority of its route, 0 being the highest
	 * @return {@code false} if it has to be rejected
	 */
	public boolean accepts(long requestBytes, int priority) {
		return keptBytes() + requestBytes <= this.limitBytes * shareFor(requestBytes, priority);
	}

	private static double shareFor(long requestBytes, int priority) {
		if (requestBytes <= MAX_SMALL_REQUEST_BYTES) {
			return 1;
		}
		return (priority == 0) ? LARGE_REQUEST_SHARE : LESS_IMPORTANT_SHARE;
	}

	/**
	 * Returns whether the limit is reached, so that only announced bytes are read.
	 * @return {@code true} if the limit is reached
	 */
	public boolean isFull() {
		return this.heldBytes >= this.limitBytes;
	}

	/**
	 * Returns whether the limit is exceeded so far that bytes which were read already are
	 * kept as they are.
	 * @return {@code true} if the limit is exceeded by a tenth
	 */
	public boolean isOverfull() {
		return this.heldBytes >= this.limitBytes * OVERFULL_SHARE;
	}

	/**
	 * Returns when a rejected request can be sent again. By then, about as many bytes
	 * have been released as are held now.
	 * @return the time in milliseconds
	 */
	public int retryAfterMs() {
		double holdingTimeMs = this.releasedByteMillis / Math.max(1, this.releasedBytes);
		return (int) Math.max(MIN_RETRY_AFTER_MS, holdingTimeMs);
	}

	/**
	 * Reserves bytes. The reservation is not limited; {@link #accepts} is asked before.
	 * @param kind what the bytes belong to
	 * @param bytes the size in bytes
	 * @return the reservation, to be released by the caller of this method
	 */
	public MemoryReservation reserve(HeldKind kind, long bytes) {
		return new MemoryReservation(this, kind, bytes, this.clock.millis(), null);
	}

	/**
	 * Creates an empty reservation that may be evicted.
	 * @param kind what the bytes belong to
	 * @param eviction releases what is held; called by {@link #evictExcess()}, which
	 * empties the reservation afterwards
	 * @return the reservation, to be released by the caller of this method
	 */
	public MemoryReservation reserveEvictable(HeldKind kind, Runnable eviction) {
		return new MemoryReservation(this, kind, 0, this.clock.millis(), eviction);
	}

	/**
	 * Evicts reservations, the largest first, if the limit is reached, until a tenth of
	 * it is free or no more may be evicted. A call by an eviction has no effect, since
	 * each of thousands of evictions would take a part of the stack.
	 * @return the number of evicted reservations
	 */
	public int evictExcess() {
		if (this.evicting || !isFull()) {
			return 0;
		}
		int evicted = 0;
		this.evicting = true;
		try {
			while (this.heldBytes > this.limitBytes * EVICTION_TARGET_SHARE
					&& this.evictableBytes > this.keptEvictableBytes) {
				MemoryReservation largest = this.evictable.stream()
					.max(Comparator.comparingLong(MemoryReservation::bytes))
					.orElseThrow();
				largest.evict();
				evicted++;
			}
		}
		finally {
			this.evicting = false;
		}
		return evicted;
	}

	/**
	 * Returns the held bytes of all kinds.
	 * @return the size in bytes
	 */
	public long heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Returns the held bytes that cannot be evicted.
	 * @return the size in bytes
	 */
	public long keptBytes() {
		return this.heldBytes - this.evictableBytes;
	}

	/**
	 * Returns the held bytes of a kind.
	 * @param kind what the bytes belong to
	 * @return the size in bytes
	 */
	public long heldBytes(HeldKind kind) {
		return this.heldByKind[kind.ordinal()];
	}

	/**
	 * Returns the limit on the held bytes.
	 * @return the limit in bytes
	 */
	public long limitBytes() {
		return this.limitBytes;
	}

	void changeEvictable(MemoryReservation reservation, long bytes) {
		this.evictableBytes += bytes;
		if (reservation.bytes() > 0) {
			this.evictable.add(reservation);
		}
		else {
			this.evictable.remove(reservation);
		}
	}

	void add(HeldKind kind, long bytes) {
		this.heldByKind[kind.ordinal()] += bytes;
		this.heldBytes += bytes;
	}

	// Weighted by size, since the release of a small request makes room for no large one.
	void recordRelease(long bytes, long reservedAt) {
		long heldMs = this.clock.millis() - reservedAt;
		this.releasedBytes = HOLDING_TIME_DECAY * this.releasedBytes + bytes;
		this.releasedByteMillis = HOLDING_TIME_DECAY * this.releasedByteMillis + (double) bytes * heldMs;
	}

}
