package org.lovagevale.core;

import java.util.LinkedHashMap;
import java.util.Map;

import org.lovagevale.base.Clock;
import org.lovagevale.core.decision.RecordAudit;

/**
 * Adds entries to the audit trail.
 *
 * <p>
 * Callers must pass only names and fingerprints, never request paths or client accounts,
 * because entries may be read outside the home regions. Not thread-safe.
 */
public final class AuditRecorder {

	private final Clock clock;

	private final DecisionSink sink;

	/**
	 * Creates a recorder.
	 * @param clock the clock that provides the time of entries
	 * @param sink receives each entry as a {@link RecordAudit} decision
	 */
	public AuditRecorder(Clock clock, DecisionSink sink) {
		this.clock = clock;
		this.sink = sink;
	}

	/**
	 * Adds an entry.
	 * @param event the name of the event
	 * @param fields alternating names and values of the details
	 */
	public void add(String event, Object... fields) {
		Map<String, String> named = new LinkedHashMap<>();
		for (int i = 0; i < fields.length; i += 2) {
			named.put(fields[i].toString(), fields[i + 1].toString());
		}
		this.sink.add(new RecordAudit(new AuditEntry(this.clock.epochMillis(), event, named)));
	}

}
