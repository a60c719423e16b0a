package org.lovagevale.node.audit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.lovagevale.core.AuditEntry;

/**
 * Holds the latest entries of the audit trail.
 *
 * <p>
 * Invariant: holds at most its capacity; the oldest entries are dropped first and
 * counted. Thread-safe.
 */
public final class AuditTrail {

	private final Deque<AuditEntry> entries = new ArrayDeque<>();

	private final int capacity;

	private long completeSince;

	private long dropped;

	/**
	 * Creates an empty trail.
	 * @param capacity the largest number of entries to hold, positive
	 * @param startEpochMillis wall time of the start in milliseconds since the epoch
	 */
	public AuditTrail(int capacity, long startEpochMillis) {
		if (capacity <= 0) {
			throw new IllegalArgumentException("capacity must be positive: " + capacity);
		}
		this.capacity = capacity;
		this.completeSince = startEpochMillis;
	}

	/**
	 * Adds an entry.
	 * @param entry the entry
	 */
	public synchronized void add(AuditEntry entry) {
		this.entries.addLast(entry);
		if (this.entries.size() > this.capacity) {
			// No entry later than the dropped one is missing.
			this.completeSince = this.entries.removeFirst().epochMillis() + 1;
			this.dropped++;
		}
	}

	/**
	 * Returns the current content of the trail.
	 * @return a copy
	 */
	public synchronized AuditView view() {
		return new AuditView(this.completeSince, this.dropped, List.copyOf(this.entries));
	}

}
