package org.lovagevale.core.request;

import java.util.LinkedHashMap;
import java.util.Map;

import org.lovagevale.base.Clock;
import org.lovagevale.core.AuditEntry;
import org.lovagevale.core.DecisionSink;
import org.lovagevale.core.decision.RecordAudit;

/**
 * Adds entries to the audit trail.
 *
 * <p>
 * Callers pass names and fingerprints only, never paths or accounts, since entries may be
 * read outside the home regions. Not thread-safe.
 */
final class Audit {

	private final Clock clock;

	private final DecisionSink sink;

	Audit(Clock clock, DecisionSink sink) {
		this.clock = clock;
		this.sink = sink;
	}

	/**
	 * Adds an entry.
	 * @param event the event
	 * @param fields names and values in turn
	 */
	void record(String event, String... fields) {
		Map<String, String> map = new LinkedHashMap<>();
		for (int i = 0; i + 1 < fields.length; i += 2) {
			map.put(fields[i], fields[i + 1]);
		}
		this.sink.add(new RecordAudit(new AuditEntry(this.clock.epochMillis(), event, map)));
	}

}
