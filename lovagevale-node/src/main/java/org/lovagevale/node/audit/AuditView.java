package org.lovagevale.node.audit;

import java.util.List;

import org.lovagevale.core.AuditEntry;

/**
 * What the audit trail held at one time.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param completeSince wall time since which no entry is missing, in milliseconds since
 * the epoch
 * @param dropped entries dropped to make room
 * @param entries the entries, oldest first
 */
public record AuditView(long completeSince, long dropped, List<AuditEntry> entries) {

	/**
	 * Copies the list.
	 */
	public AuditView {
		entries = List.copyOf(entries);
	}

}
