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
 * Questions of callers for the outcome of a key.
 *
 * <p>
 * The home regions of the request are not known here. The key names its owner, which is
 * inside them, and only the owner or the holders of its archive in its region are asked.
 * Not thread-safe.
 */
final class OutcomeQuestions {

	private final OutcomeQueries queries;

	private final DecisionSink sink;

	private final Map<RequestId, Long> waiting = new LinkedHashMap<>();

	OutcomeQuestions(OutcomeQueries queries, DecisionSink sink) {
		this.queries = queries;
		this.sink = sink;
	}

	void ask(OutcomeAsked question) {
		try {
			IdempotencyKey key = IdempotencyKey.parse(question.key());
			this.waiting.put(question.id(), this.queries.ask(key, Set.of()));
			tick();
		}
		catch (IllegalArgumentException ex) {
			this.sink.add(new AnswerOutcome(question.id(), Outcome.UNKNOWN,
					"The idempotency key is malformed; use the form vm.incarnation.epoch.unique."));
		}
	}

	void tick() {
		Iterator<Map.Entry<RequestId, Long>> questions = this.waiting.entrySet().iterator();
		while (questions.hasNext()) {
			Map.Entry<RequestId, Long> question = questions.next();
			Outcome outcome = this.queries.outcomeOf(question.getValue());
			if (outcome != null) {
				questions.remove();
				this.sink.add(new AnswerOutcome(question.getKey(), outcome, message(outcome)));
			}
		}
	}

	private static String message(Outcome outcome) {
		return switch (outcome) {
			case RAN -> "The request ran.";
			case NOT_RUN -> "The request did not run and never will with this key; use a new key.";
			case RUNNING -> "The request is running; ask again later.";
			case UNKNOWN -> "It is not known whether the request ran; look for its effect.";
		};
	}

}
