package org.lovagevale.core.memory;

import org.jspecify.annotations.Nullable;

/**
 * The bytes of one kind that one request or connection holds.
 *
 * <p>
 * Invariant: once released, it holds nothing and cannot be resized. Not thread-safe.
 */
public final class MemoryReservation {

	private final MemoryAccount account;

	private final HeldKind kind;

	private final long reservedAt;

	/** Releases what is held, {@code null} if it has to be kept. */
	private final @Nullable Runnable eviction;

	private long bytes;

	private boolean released;

	MemoryReservation(MemoryAccount account, HeldKind kind, long bytes, long now, @Nullable Runnable eviction) {
		this.account = account;
		this.kind = kind;
		this.reservedAt = now;
		this.eviction = eviction;
		resize(bytes);
	}

	/**
	 * Returns the reserved bytes.
	 * @return the size in bytes
	 */
	public long bytes() {
		return this.bytes;
	}

	/**
	 * Changes the size. It is not limited, since the bytes have already been read.
	 * @param newBytes the size in bytes
	 */
	public void resize(long newBytes) {
		if (!this.released) {
			long addedBytes = newBytes - this.bytes;
			this.account.add(this.kind, addedBytes);
			this.bytes = newBytes;
			if (this.eviction != null) {
				this.account.changeEvictable(this, addedBytes);
			}
		}
	}

	/**
	 * Has the owner release what it holds.
	 */
	void evict() {
		Runnable known = this.eviction;
		if (known != null) {
			known.run();
		}
		resize(0);
	}

	/**
	 * Releases all bytes. Further calls have no effect.
	 */
	public void release() {
		if (!this.released) {
			this.account.recordRelease(this.bytes, this.reservedAt);
			resize(0);
			this.released = true;
		}
	}

}
