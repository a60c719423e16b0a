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
 * @param epochMillis the wall-clock time in milliseconds since the Unix epoch
 * @param event the name of the event, for example "settings.adopted"
 * @param fields the details by name, in the order in which they are written
 */
public record AuditEntry(long epochMillis, String event, Map<String, String> fields) {

	/**
	 * Creates an entry with a copy of the fields.
	 */
	public AuditEntry {
		fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
	}

}
