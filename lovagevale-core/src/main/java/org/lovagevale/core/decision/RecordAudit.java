package org.lovagevale.core.decision;

import org.lovagevale.core.AuditEntry;

/**
 * Add an entry to the audit trail and the log.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param entry the entry
 */
public record RecordAudit(AuditEntry entry) implements Decision {
}
