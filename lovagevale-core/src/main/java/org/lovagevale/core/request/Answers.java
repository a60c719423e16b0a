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
 * Handles what becomes of attempts.
 *
 * <p>
 * Invariant: events of attempts that are no longer current change nothing. Not
 * thread-safe.
 */
final class Answers {

	private static final int FIRST_SERVER_ERROR = 500;

	private final Clock clock;

	private final Map<RequestId, ActiveRequest> active;

	private final ServerOutcomeRecorder recorder;

	private final CrashGuard guard;

	private final Retries retries;

	private final RequestEnd end;

	private final DecisionSink sink;

	private int replayBytes;

	Answers(Clock clock, Map<RequestId, ActiveRequest> active, ServerOutcomeRecorder recorder, CrashGuard guard,
			Retries retries, RequestEnd end, DecisionSink sink) {
		this.clock = clock;
		this.active = active;
		this.recorder = recorder;
		this.guard = guard;
		this.retries = retries;
		this.end = end;
		this.sink = sink;
	}

	void useReplayBytes(int replayBytes) {
		this.replayBytes = replayBytes;
	}

	/**
	 * Handles the head of an answer.
	 * @param event the event
	 * @return {@code false} if the event came late
	 */
	boolean head(AnswerHeadArrived event) {
		ActiveRequest request = this.active.get(event.id());
		Attempt attempt = (request != null) ? request.attempt(event.attempt()) : null;
		if (request == null || attempt == null || request.stage() == Stage.ANSWERING) {
			return false;
		}
		long now = this.clock.millis();
		if (event.notRun()) {
			release(request, attempt);
			request.markNotRun();
			request.markBodySent();
			this.recorder.shed(attempt, event.report(), now);
			this.retries.next(request, true, RefusalReason.OVERLOADED);
			return true;
		}
		this.end.cancelOthers(request, attempt.number());
		request.answer(event.status());
		this.end.endTrial(request, true);
		boolean good = event.status() < FIRST_SERVER_ERROR;
		this.recorder.answered(attempt, request.priority(), event.report(), good, now);
		this.sink.add(new PassOn(request.id(), attempt.number(), (request.isKeyAccepted()) ? this.replayBytes : 0));
		return true;
	}

	private static void release(ActiveRequest request, Attempt attempt) {
		request.endAttempt(attempt);
		attempt.server().end();
	}

	/**
	 * Handles the end of an answer.
	 * @param event the event
	 * @return {@code false} if the event came late
	 */
	boolean ended(AnswerEnded event) {
		ActiveRequest request = this.active.get(event.id());
		Attempt attempt = (request != null) ? request.attempt(event.attempt()) : null;
		if (request == null || attempt == null || request.stage() != Stage.ANSWERING) {
			return false;
		}
		release(request, attempt);
		this.end.complete(request, event.stored());
		return true;
	}

	/**
	 * Handles the failure of an attempt.
	 * @param event the event
	 * @return {@code false} if the event came late
	 */
	boolean failed(AttemptFailed event) {
		ActiveRequest request = this.active.get(event.id());
		Attempt attempt = (request != null) ? request.attempt(event.attempt()) : null;
		if (request == null || attempt == null) {
			return false;
		}
		release(request, attempt);
		failed(request, attempt, event.kind());
		return true;
	}

	/**
	 * Handles the failure of an attempt that has been released.
	 * @param request the request
	 * @param attempt the attempt
	 * @param kind how it failed
	 */
	void failed(ActiveRequest request, Attempt attempt, FailureKind kind) {
		long now = this.clock.millis();
		this.recorder.failed(attempt, request.priority(), kind, now);
		if (request.stage() == Stage.ANSWERING) {
			this.end.abort(request);
			return;
		}
		if (kind != FailureKind.NOT_CONNECTED) {
			request.markBodySent();
		}
		switch (kind) {
			case NOT_CONNECTED -> {
				request.markNotRun();
				this.retries.next(request, true, RefusalReason.SERVER_FAILED);
			}
			case LOST_BEFORE_HEAD -> {
				if (!this.guard.strike(request, attempt)) {
					this.retries.next(request, request.isIdempotent(), RefusalReason.SERVER_FAILED);
				}
			}
			case LOST_IN_BODY -> this.retries.next(request, false, RefusalReason.SERVER_FAILED);
			case TIMED_OUT ->
				this.retries.next(request, isCutShort(request, attempt, now), RefusalReason.DEADLINE_EXCEEDED);
		}
	}

	// The end of a cold window cuts an attempt short. The node reports an attempt that it
	// could not make as a timeout that comes early.
	private static boolean isCutShort(ActiveRequest request, Attempt attempt, long now) {
		return request.isIdempotent() && attempt.isOver(now) && now < request.deadline();
	}

	/**
	 * Handles the loss of the caller.
	 * @param event the event
	 * @return {@code false} if the event came late
	 */
	boolean callerGone(CallerGone event) {
		ActiveRequest request = this.active.get(event.id());
		if (request == null || request.isCallerGone()) {
			return false;
		}
		request.loseCaller();
		this.end.abandon(request);
		return true;
	}

}
