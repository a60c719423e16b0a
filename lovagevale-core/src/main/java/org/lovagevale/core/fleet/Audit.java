package org.lovagevale.core.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

import org.lovagevale.base.Clock;
import org.lovagevale.core.AuditEntry;
import org.lovagevale.core.DecisionSink;
import org.lovagevale.core.decision.RecordAudit;

/**
 * Emits entries of the audit trail.
 *
 * <p>
 * Not thread-safe.
 */
final class Audit {

	private final Clock clock;

	private final DecisionSink sink;

	Audit(Clock clock, DecisionSink sink) {
		this.clock = clock;
		this.sink = sink;
	}

	/**
	 * Emits an entry.
	 * @param event the event
	 * @param fields names and values in turn
	 */
	void add(String event, Object... fields) {
		Map<String, String> named = new LinkedHashMap<>();
		for (int i = 0; i < fields.length; i += 2) {
			named.put(fields[i].toString(), fields[i + 1].toString());
		}
		this.sink.add(new RecordAudit(new AuditEntry(this.clock.epochMillis(), event, named)));
	}

}
