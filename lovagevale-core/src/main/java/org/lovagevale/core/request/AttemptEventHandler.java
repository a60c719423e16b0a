package org.lovagevale.core.request;

import java.util.Map;

import org.lovagevale.base.Clock;
import org.lovagevale.core.DecisionSink;
import org.lovagevale.core.FailureKind;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.decision.PassOn;
import org.lovagevale.core.event.AnswerEnded;
import org.lovagevale.core.event.AnswerHeadArrived;
import org.lovagevale.core.event.AttemptFailed;
import org.lovagevale.core.event.CallerGone;

/**
 * Handles the answers and failures of attempts, and requests whose caller disconnects.
 *
 * <p>
 * Invariant: events of attempts that have already ended or been cancelled have no effect.
 * Not thread-safe.
 */
final class AttemptEventHandler {

	private static final int MIN_SERVER_ERROR_STATUS = 500;

	private final Clock clock;

	private final Map<RequestId, ActiveRequest> activeRequests;

	private final ServerOutcomeRecorder recorder;

	private final CrashGuard guard;

	private final RetryHandler retryHandler;

	private final RequestCompletion completion;

	private final DecisionSink sink;

	private int replayBytes;

	AttemptEventHandler(Clock clock, Map<RequestId, ActiveRequest> activeRequests, ServerOutcomeRecorder recorder,
			CrashGuard guard, RetryHandler retryHandler, RequestCompletion completion, DecisionSink sink) {
		this.clock = clock;
		this.activeRequests = activeRequests;
		this.recorder = recorder;
		this.guard = guard;
		this.retryHandler = retryHandler;
		this.completion = completion;
		this.sink = sink;
	}

	void setReplayBytes(int replayBytes) {
		this.replayBytes = replayBytes;
	}

	/**
	 * Handles the status line and headers of an answer.
	 * @param event the event
	 * @return {@code false} if the event arrived too late
	 */
	boolean handleHead(AnswerHeadArrived event) {
		ActiveRequest request = this.activeRequests.get(event.id());
		Attempt attempt = (request != null) ? request.attempt(event.attempt()) : null;
		if (request == null || attempt == null || request.stage() == RequestStage.ANSWERING) {
			return false;
		}
		long now = this.clock.millis();
		if (event.notRun()) {
			release(request, attempt);
			request.markNotRun();
			request.markBodySent();
			this.recorder.recordShed(attempt, event.report(), now);
			this.retryHandler.retryOrRefuse(request, true, RefusalReason.OVERLOADED);
			return true;
		}
		this.completion.cancelOthers(request, attempt.number());
		request.startAnswer(event.status());
		this.completion.endTrial(request, true);
		boolean successful = event.status() < MIN_SERVER_ERROR_STATUS;
		this.recorder.recordAnswer(attempt, request.priority(), event.report(), successful, now);
		this.sink.add(new PassOn(request.id(), attempt.number(), (request.isKeyAccepted()) ? this.replayBytes : 0));
		return true;
	}

	private static void release(ActiveRequest request, Attempt attempt) {
		request.endAttempt(attempt);
		attempt.server().attemptEnded();
	}

	/**
	 * Handles the end of an answer.
	 * @param event the event
	 * @return {@code false} if the event arrived too late
	 */
	boolean handleEnd(AnswerEnded event) {
		ActiveRequest request = this.activeRequests.get(event.id());
		Attempt attempt = (request != null) ? request.attempt(event.attempt()) : null;
		if (request == null || attempt == null || request.stage() != RequestStage.ANSWERING) {
			return false;
		}
		release(request, attempt);
		this.completion.complete(request, event.stored());
		return true;
	}

	/**
	 * Handles the failure of an attempt.
	 * @param event the event
	 * @return {@code false} if the event arrived too late
	 */
	boolean handleFailure(AttemptFailed event) {
		ActiveRequest request = this.activeRequests.get(event.id());
		Attempt attempt = (request != null) ? request.attempt(event.attempt()) : null;
		if (request == null || attempt == null) {
			return false;
		}
		release(request, attempt);
		handleFailure(request, attempt, event.kind());
		return true;
	}

	/**
	 * Handles the failure of an attempt that no longer occupies a slot.
	 * @param request the request
	 * @param attempt the attempt
	 * @param kind the kind of failure
	 */
	void handleFailure(ActiveRequest request, Attempt attempt, FailureKind kind) {
		long now = this.clock.millis();
		this.recorder.recordFailure(attempt, request.priority(), kind, now);
		if (request.stage() == RequestStage.ANSWERING) {
			this.completion.abort(request);
			return;
		}
		if (kind != FailureKind.NOT_CONNECTED) {
			request.markBodySent();
		}
		switch (kind) {
			case NOT_CONNECTED -> {
				request.markNotRun();
				this.retryHandler.retryOrRefuse(request, true, RefusalReason.SERVER_FAILED);
			}
			case LOST_BEFORE_HEAD -> {
				if (!this.guard.recordStrike(request, attempt)) {
					this.retryHandler.retryOrRefuse(request, request.isIdempotent(), RefusalReason.SERVER_FAILED);
				}
			}
			case LOST_IN_BODY -> this.retryHandler.retryOrRefuse(request, false, RefusalReason.SERVER_FAILED);
			case TIMED_OUT -> this.retryHandler.retryOrRefuse(request, isCutShort(request, attempt, now),
					RefusalReason.DEADLINE_EXCEEDED);
		}
	}

	// An attempt is cut short if its timeout, limited by the end of a cold window, passes
	// before the deadline of the request. The node also reports an attempt that it could
	// not start as a timeout, but before the timeout has passed; that is not a cut-short
	// attempt.
	private static boolean isCutShort(ActiveRequest request, Attempt attempt, long now) {
		return request.isIdempotent() && attempt.isTimedOut(now) && now < request.deadline();
	}

	/**
	 * Handles the disconnection of the caller.
	 * @param event the event
	 * @return {@code false} if the event arrived too late
	 */
	boolean handleCallerGone(CallerGone event) {
		ActiveRequest request = this.activeRequests.get(event.id());
		if (request == null || request.isCallerGone()) {
			return false;
		}
		request.markCallerGone();
		this.completion.abandon(request);
		return true;
	}

}
