package org.lovagevale.core.request;

import java.util.List;
import java.util.Map;

import org.lovagevale.base.Clock;
import org.lovagevale.core.FailureKind;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.Refusal;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.fleet.Fleet;

/**
 * Resumes waiting requests when the awaited result is available, and enforces time
 * limits.
 *
 * <p>
 * Not thread-safe.
 */
final class RequestPoller {

	private static final long RETRY_AFTER_MS = 1_000;

	// The node reports timeouts itself. An attempt is timed out here after this margin,
	// in case the node lost track of it.
	private static final long OVERDUE_MARGIN_MS = 100;

	private final Clock clock;

	private final Map<RequestId, ActiveRequest> activeRequests;

	private final WaitingRequests waiting;

	private final Fleet fleet;

	private final Dispatcher dispatcher;

	private final CrashGuard guard;

	private final RetryHandler retryHandler;

	private final AttemptEventHandler attemptEvents;

	private final RequestCompletion completion;

	RequestPoller(Clock clock, Map<RequestId, ActiveRequest> activeRequests, WaitingRequests waiting, Fleet fleet,
			Dispatcher dispatcher, CrashGuard guard, RetryHandler retryHandler, AttemptEventHandler attemptEvents,
			RequestCompletion completion) {
		this.clock = clock;
		this.activeRequests = activeRequests;
		this.waiting = waiting;
		this.fleet = fleet;
		this.dispatcher = dispatcher;
		this.guard = guard;
		this.retryHandler = retryHandler;
		this.attemptEvents = attemptEvents;
		this.completion = completion;
	}

	/**
	 * Resumes the requests whose result from the fleet is available.
	 */
	void poll() {
		boolean progress = !this.waiting.isEmpty();
		while (progress) {
			progress = pollOnce(this.clock.millis()) && !this.waiting.isEmpty();
		}
	}

	// A resumed request may start to wait for another result, which may be available
	// already.
	private boolean pollOnce(long now) {
		boolean progress = false;
		for (ActiveRequest request : this.waiting.drain()) {
			if (poll(request, now)) {
				progress = true;
			}
			else {
				this.waiting.add(request);
			}
		}
		return progress;
	}

	private boolean poll(ActiveRequest request, long now) {
		return switch (request.stage()) {
			case WAITING_FOR_OUTCOME -> pollOutcome(request, now);
			case WAITING_FOR_TRIAL -> pollTrial(request);
			case WAITING_FOR_NOTICE -> pollNotice(request);
			case WAITING_FOR_OTHER_TRIAL -> pollOtherTrial(request, now);
			default -> true;
		};
	}

	private boolean pollOutcome(ActiveRequest request, long now) {
		Outcome outcome = this.fleet.outcomeOf(request.waitId());
		if (outcome == null && now >= request.deadline()) {
			outcome = Outcome.UNKNOWN;
		}
		if (outcome == null) {
			return false;
		}
		RefusalReason reason = refusalReason(outcome);
		long retryAfterMs = (outcome == Outcome.RUNNING) ? RETRY_AFTER_MS : 0;
		this.completion.refuseAs(request,
				new Refusal(reason, outcome, retryAfterMs, RefusalMessages.of(reason, outcome)));
		return true;
	}

	private static RefusalReason refusalReason(Outcome outcome) {
		return switch (outcome) {
			case RAN -> RefusalReason.KEY_ENDED;
			case RUNNING -> RefusalReason.KEY_RUNNING;
			case NOT_RUN -> RefusalReason.KEY_OF_OTHER_VM;
			case UNKNOWN -> RefusalReason.KEY_OWNER_UNREACHABLE;
		};
	}

	private boolean pollTrial(ActiveRequest request) {
		boolean settled = this.fleet.isNoticeSettled(request.waitId());
		// A trial in another process may have crashed a second server in the meantime, in
		// which case the request is submitted to be refused.
		if (!settled && this.guard.mayDispatch(request)) {
			return false;
		}
		this.dispatcher.submit(request);
		return true;
	}

	private boolean pollNotice(ActiveRequest request) {
		if (!this.fleet.isNoticeSettled(request.waitId())) {
			return false;
		}
		boolean mayRetry = request.isIdempotent() && !request.isTrialUsed();
		this.retryHandler.retryOrRefuse(request, mayRetry, RefusalReason.SERVER_FAILED);
		return true;
	}

	private boolean pollOtherTrial(ActiveRequest request, long now) {
		if (this.guard.isOtherTrialRunning(request, now)) {
			return false;
		}
		this.dispatcher.submit(request);
		return true;
	}

	/**
	 * Checks the time limits of all requests.
	 */
	void tick() {
		long now = this.clock.millis();
		for (ActiveRequest request : List.copyOf(this.activeRequests.values())) {
			tick(request, now);
		}
	}

	private void tick(ActiveRequest request, long now) {
		switch (request.stage()) {
			case READING, WAITING_FOR_TRIAL -> {
				if (now >= request.deadline()) {
					this.completion.refuse(request, RefusalReason.DEADLINE_EXCEEDED, 0);
				}
			}
			case QUEUED -> tickQueued(request, now);
			case RUNNING -> tickRunning(request, now);
			default -> {
				// Handled by poll(), or ended by an event of the node.
			}
		}
	}

	private void tickQueued(ActiveRequest request, long now) {
		if (now >= request.waitEndsAt()) {
			this.dispatcher.refuseAfterWait(request, now);
		}
	}

	private void tickRunning(ActiveRequest request, long now) {
		for (Attempt attempt : List.copyOf(request.attempts())) {
			if (request.stage() == RequestStage.RUNNING && now >= attempt.endsAt() + OVERDUE_MARGIN_MS) {
				this.completion.cancelAttempt(request, attempt);
				this.attemptEvents.handleFailure(request, attempt, FailureKind.TIMED_OUT);
			}
		}
		if (request.stage() == RequestStage.RUNNING) {
			this.retryHandler.hedge(request, now);
		}
	}

}
