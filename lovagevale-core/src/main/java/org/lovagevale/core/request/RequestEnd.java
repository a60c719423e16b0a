package org.lovagevale.core.request;

import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.core.DecisionSink;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.Refusal;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.StoredAnswer;
import org.lovagevale.core.decision.AbortAnswer;
import org.lovagevale.core.decision.CancelAttempt;
import org.lovagevale.core.decision.Refuse;
import org.lovagevale.core.decision.Replay;
import org.lovagevale.core.fleet.Fleet;
import org.lovagevale.core.keys.IdempotencyKey;
import org.lovagevale.core.keys.IdempotencyKeyStore;

/**
 * Ends requests with exactly one answer and the truth about their execution.
 *
 * <p>
 * Invariant: a refusal says that a request did not run only if no attempt may have run,
 * and with an idempotency key only after that was recorded as final. Not thread-safe.
 */
final class RequestEnd {

	private static final int STATUS_CLASS = 100;

	private static final int SUCCESS_CLASS = 2;

	private final Clock clock;

	private final Map<RequestId, ActiveRequest> active;

	private final Fleet fleet;

	private final KeyGate keyGate;

	private final IdempotencyKeyStore keys;

	private final DecisionSink sink;

	RequestEnd(Clock clock, Map<RequestId, ActiveRequest> active, Fleet fleet, IdempotencyKeyStore keys,
			KeyGate keyGate, DecisionSink sink) {
		this.clock = clock;
		this.active = active;
		this.fleet = fleet;
		this.keys = keys;
		this.keyGate = keyGate;
		this.sink = sink;
	}

	/**
	 * Refuses a request that never became active.
	 * @param id the request
	 * @param key its idempotency key, or {@code null} if it has none or it is not used
	 * @param reason why
	 * @param retryAfterMs time after which a new try may succeed in milliseconds, 0 if
	 * not given
	 */
	void refuseNew(RequestId id, @Nullable IdempotencyKey key, RefusalReason reason, long retryAfterMs) {
		Outcome outcome = (key != null) ? this.keyGate.outcomeBeforeAdmission(key) : Outcome.NOT_RUN;
		this.sink.add(new Refuse(id, new Refusal(reason, outcome, retryAfterMs, Messages.of(reason, outcome))));
	}

	/**
	 * Refuses a request with what is known about its execution.
	 * @param request the request
	 * @param reason why
	 * @param retryAfterMs time after which a new try may succeed in milliseconds, 0 if
	 * not given
	 */
	void refuse(ActiveRequest request, RefusalReason reason, long retryAfterMs) {
		cancelAttempts(request);
		Outcome outcome = recordOutcome(request);
		finish(request);
		if (!request.isCallerGone()) {
			Refusal refusal = new Refusal(reason, outcome, retryAfterMs, Messages.of(reason, outcome));
			this.sink.add(new Refuse(request.id(), refusal));
		}
	}

	private Outcome recordOutcome(ActiveRequest request) {
		IdempotencyKey key = request.key();
		if (key == null) {
			return (request.mayHaveRun()) ? Outcome.UNKNOWN : Outcome.NOT_RUN;
		}
		if (!request.isKeyAccepted()) {
			return this.keyGate.outcomeBeforeAdmission(key);
		}
		if (request.mayHaveRun()) {
			this.keys.recordUnknown(key);
			return Outcome.UNKNOWN;
		}
		this.keys.recordNotRun(key);
		return Outcome.NOT_RUN;
	}

	/**
	 * Refuses a request with an answer that the memory of keys or a peer gave.
	 * @param request the request, which has no attempts
	 * @param refusal the answer
	 */
	void refuseAs(ActiveRequest request, Refusal refusal) {
		finish(request);
		this.sink.add(new Refuse(request.id(), refusal));
	}

	/**
	 * Answers a request with a stored answer.
	 * @param request the request, which has no attempts
	 * @param answer the answer
	 */
	void replay(ActiveRequest request, StoredAnswer answer) {
		finish(request);
		this.sink.add(new Replay(request.id(), answer));
	}

	/**
	 * Ends a request whose answer was passed on.
	 * @param request the request
	 * @param stored the answer to replay, or {@code null}
	 */
	void complete(ActiveRequest request, @Nullable StoredAnswer stored) {
		if (request.key() != null && request.isKeyAccepted()) {
			this.keys.recordRan(request.key(), stored);
		}
		finish(request);
	}

	/**
	 * Ends a request whose answer was interrupted.
	 * @param request the request, which was being answered
	 */
	void abort(ActiveRequest request) {
		cancelAttempts(request);
		recordInterrupted(request);
		finish(request);
		if (!request.isCallerGone()) {
			this.sink.add(new AbortAnswer(request.id()));
		}
	}

	/**
	 * Ends a request without an answer, since the caller is gone.
	 * @param request the request
	 */
	void abandon(ActiveRequest request) {
		cancelAttempts(request);
		if (request.stage() == Stage.ANSWERING) {
			recordInterrupted(request);
		}
		else if (request.isKeyAccepted()) {
			recordOutcome(request);
		}
		finish(request);
	}

	// A server that sent the head of a successful answer ran the request; of another
	// answer the caller would not know what it was.
	private void recordInterrupted(ActiveRequest request) {
		if (request.key() == null || !request.isKeyAccepted()) {
			return;
		}
		if (request.answerStatus() / STATUS_CLASS == SUCCESS_CLASS) {
			this.keys.recordRan(request.key(), null);
		}
		else {
			this.keys.recordUnknown(request.key());
		}
	}

	/**
	 * Cancels the attempts of a request.
	 * @param request the request
	 */
	void cancelAttempts(ActiveRequest request) {
		cancelOthers(request, 0);
	}

	/**
	 * Cancels all attempts of a request but one.
	 * @param request the request
	 * @param kept the number of the attempt that goes on
	 */
	void cancelOthers(ActiveRequest request, int kept) {
		for (Attempt attempt : List.copyOf(request.attempts())) {
			if (attempt.number() != kept) {
				cancelAttempt(request, attempt);
			}
		}
	}

	/**
	 * Cancels an attempt.
	 * @param request the request
	 * @param attempt the attempt
	 */
	void cancelAttempt(ActiveRequest request, Attempt attempt) {
		request.endAttempt(attempt);
		attempt.server().cancel(attempt.endsAt(), this.clock.millis());
		this.sink.add(new CancelAttempt(request.id(), attempt.number()));
	}

	/**
	 * Ends the trial of a request, if there is one, without a crash.
	 * @param request the request
	 * @param answered whether a backend server answered
	 */
	void endTrial(ActiveRequest request, boolean answered) {
		if (request.isOnTrial()) {
			request.endTrial();
			this.fleet.endTrial(request.fingerprint(), request.scope().regions(), answered);
		}
	}

	private void finish(ActiveRequest request) {
		if (request.stage() == Stage.QUEUED) {
			request.pool().queue().remove(request);
		}
		endTrial(request, false);
		request.enter(Stage.ENDED);
		this.active.remove(request.id());
	}

}
