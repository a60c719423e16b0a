package org.lovagevale.core;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One entry of the audit trail.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param epochMillis wall time in milliseconds since the epoch
 * @param event the event, for example "settings.adopted"
 * @param fields details in order
 */
public record AuditEntry(long epochMillis, String event, Map<String, String> fields) {

	/**
	 * Copies the fields.
	 */
	public AuditEntry {
		fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
	}

}
