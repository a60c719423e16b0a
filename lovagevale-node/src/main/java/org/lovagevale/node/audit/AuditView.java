package org.lovagevale.node.audit;

import java.util.List;

import org.lovagevale.core.AuditEntry;

/**
 * A snapshot of the audit trail.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param completeSince time from which on no entry is missing, in milliseconds since the
 * epoch
 * @param dropped the number of entries dropped because the trail was full
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
