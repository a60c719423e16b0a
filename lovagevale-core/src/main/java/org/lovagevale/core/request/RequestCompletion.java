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
 * Ends requests with exactly one answer, and reports truthfully whether they ran.
 *
 * <p>
 * Invariant: a refusal states that a request did not run only if no attempt may have run;
 * for a request with an idempotency key, only after that outcome has been recorded as
 * final. Not thread-safe.
 */
final class RequestCompletion {

	private static final int STATUS_CLASS_SIZE = 100;

	private static final int SUCCESS_CLASS = 2;

	private final Clock clock;

	private final Map<RequestId, ActiveRequest> activeRequests;

	private final Fleet fleet;

	private final KeyOwnership keyOwnership;

	private final IdempotencyKeyStore keys;

	private final DecisionSink sink;

	RequestCompletion(Clock clock, Map<RequestId, ActiveRequest> activeRequests, Fleet fleet, IdempotencyKeyStore keys,
			KeyOwnership keyOwnership, DecisionSink sink) {
		this.clock = clock;
		this.activeRequests = activeRequests;
		this.fleet = fleet;
		this.keys = keys;
		this.keyOwnership = keyOwnership;
		this.sink = sink;
	}

	/**
	 * Refuses a request that has not become active.
	 * @param id the request
	 * @param key the idempotency key, or {@code null} if there is none or it is not used
	 * @param reason the reason for the refusal
	 * @param retryAfterMs the time in milliseconds after which a retry may succeed, 0 if
	 * unspecified
	 */
	void refuseNew(RequestId id, @Nullable IdempotencyKey key, RefusalReason reason, long retryAfterMs) {
		Outcome outcome = (key != null) ? this.keyOwnership.outcomeBeforeAdmission(key) : Outcome.NOT_RUN;
		this.sink.add(new Refuse(id, new Refusal(reason, outcome, retryAfterMs, RefusalMessages.of(reason, outcome))));
	}

	/**
	 * Refuses a request and reports its known outcome.
	 * @param request the request
	 * @param reason the reason for the refusal
	 * @param retryAfterMs the time in milliseconds after which a retry may succeed, 0 if
	 * unspecified
	 */
	void refuse(ActiveRequest request, RefusalReason reason, long retryAfterMs) {
		cancelAttempts(request);
		Outcome outcome = recordOutcome(request);
		finish(request);
		if (!request.isCallerGone()) {
			Refusal refusal = new Refusal(reason, outcome, retryAfterMs, RefusalMessages.of(reason, outcome));
			this.sink.add(new Refuse(request.id(), refusal));
		}
	}

	private Outcome recordOutcome(ActiveRequest request) {
		IdempotencyKey key = request.key();
		if (key == null) {
			return (request.mayHaveRun()) ? Outcome.UNKNOWN : Outcome.NOT_RUN;
		}
		if (!request.isKeyAccepted()) {
			return this.keyOwnership.outcomeBeforeAdmission(key);
		}
		if (request.mayHaveRun()) {
			this.keys.recordUnknown(key);
			return Outcome.UNKNOWN;
		}
		this.keys.recordNotRun(key);
		return Outcome.NOT_RUN;
	}

	/**
	 * Refuses a request with a refusal determined by the key store or a peer.
	 * @param request the request, which has no attempts
	 * @param refusal the refusal
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
	 * Ends a request whose answer was forwarded completely.
	 * @param request the request
	 * @param stored the answer to keep for replays, or {@code null}
	 */
	void complete(ActiveRequest request, @Nullable StoredAnswer stored) {
		if (request.key() != null && request.isKeyAccepted()) {
			this.keys.recordRan(request.key(), stored);
		}
		finish(request);
	}

	/**
	 * Ends a request whose answer was interrupted.
	 * @param request the request, whose answer was being forwarded
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
	 * Ends a request without an answer because the caller has disconnected.
	 * @param request the request
	 */
	void abandon(ActiveRequest request) {
		cancelAttempts(request);
		if (request.stage() == RequestStage.ANSWERING) {
			recordInterrupted(request);
		}
		else if (request.isKeyAccepted()) {
			recordOutcome(request);
		}
		finish(request);
	}

	// A server that sent the head of a successful answer ran the request. After any other
	// status, the interrupted answer does not tell the caller whether the request ran.
	private void recordInterrupted(ActiveRequest request) {
		if (request.key() == null || !request.isKeyAccepted()) {
			return;
		}
		if (request.answerStatus() / STATUS_CLASS_SIZE == SUCCESS_CLASS) {
			this.keys.recordRan(request.key(), null);
		}
		else {
			this.keys.recordUnknown(request.key());
		}
	}

	/**
	 * Cancels all attempts of a request.
	 * @param request the request
	 */
	void cancelAttempts(ActiveRequest request) {
		cancelOthers(request, 0);
	}

	/**
	 * Cancels all attempts of a request except one.
	 * @param request the request
	 * @param kept the number of the attempt that continues
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
		attempt.server().attemptCancelled(attempt.endsAt(), this.clock.millis());
		this.sink.add(new CancelAttempt(request.id(), attempt.number()));
	}

	/**
	 * Ends the trial of a request, if one is running, without a crash.
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
		if (request.stage() == RequestStage.QUEUED) {
			request.service().queue().remove(request);
		}
		endTrial(request, false);
		request.setStage(RequestStage.ENDED);
		this.activeRequests.remove(request.id());
	}

}
