package org.lovagevale.core.fleet;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.lovagevale.core.DecisionSink;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.decision.AnswerOutcome;
import org.lovagevale.core.event.OutcomeAsked;
import org.lovagevale.core.keys.IdempotencyKey;

/**
 * Handles the requests of callers for the outcome of an idempotency key.
 *
 * <p>
 * The home regions of the request that used the key are not known here. They contain the
 * region of the owner, which the key names, and only the owner or the holders of its
 * archive in that region are queried. Not thread-safe.
 */
final class CallerOutcomeQueries {

	private final OutcomeQueries queries;

	private final DecisionSink sink;

	private final Map<RequestId, Long> pendingQueryIds = new LinkedHashMap<>();

	CallerOutcomeQueries(OutcomeQueries queries, DecisionSink sink) {
		this.queries = queries;
		this.sink = sink;
	}

	void submit(OutcomeAsked request) {
		try {
			IdempotencyKey key = IdempotencyKey.parse(request.key());
			this.pendingQueryIds.put(request.id(), this.queries.submit(key, Set.of()));
			tick();
		}
		catch (IllegalArgumentException ex) {
			this.sink.add(new AnswerOutcome(request.id(), Outcome.UNKNOWN,
					"The idempotency key is malformed; use the form vm.incarnation.epoch.unique."));
		}
	}

	void tick() {
		Iterator<Map.Entry<RequestId, Long>> pending = this.pendingQueryIds.entrySet().iterator();
		while (pending.hasNext()) {
			Map.Entry<RequestId, Long> entry = pending.next();
			Outcome outcome = this.queries.outcomeOf(entry.getValue());
			if (outcome != null) {
				pending.remove();
				this.sink.add(new AnswerOutcome(entry.getKey(), outcome, explanation(outcome)));
			}
		}
	}

	private static String explanation(Outcome outcome) {
		return switch (outcome) {
			case RAN -> "The request ran.";
			case NOT_RUN -> "The request did not run and never will with this key; use a new key.";
			case RUNNING -> "The request is running; ask again later.";
			case UNKNOWN -> "It is not known whether the request ran; look for its effect.";
		};
	}

}
