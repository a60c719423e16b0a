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
 * Goes on with requests when what they wait for has come or their time is over.
 *
 * <p>
 * Not thread-safe.
 */
final class Waits {

	private static final long RETRY_AFTER_MS = 1_000;

	// The node reports timeouts itself; this catches an attempt of which it lost track.
	private static final long OVERDUE_MS = 100;

	private final Clock clock;

	private final Map<RequestId, ActiveRequest> active;

	private final WaitingRequests waiting;

	private final Fleet fleet;

	private final Dispatcher dispatcher;

	private final CrashGuard guard;

	private final Retries retries;

	private final Answers answers;

	private final RequestEnd end;

	Waits(Clock clock, Map<RequestId, ActiveRequest> active, WaitingRequests waiting, Fleet fleet,
			Dispatcher dispatcher, CrashGuard guard, Retries retries, Answers answers, RequestEnd end) {
		this.clock = clock;
		this.active = active;
		this.waiting = waiting;
		this.fleet = fleet;
		this.dispatcher = dispatcher;
		this.guard = guard;
		this.retries = retries;
		this.answers = answers;
		this.end = end;
	}

	/**
	 * Looks at the requests that wait for the fleet.
	 */
	void poll() {
		boolean progress = !this.waiting.isEmpty();
		while (progress) {
			progress = pollOnce(this.clock.millis()) && !this.waiting.isEmpty();
		}
	}

	// A request may wait for something else afterwards, which may have come already.
	private boolean pollOnce(long now) {
		boolean progress = false;
		for (ActiveRequest request : this.waiting.take()) {
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
		RefusalReason reason = reasonOf(outcome);
		long retryAfterMs = (outcome == Outcome.RUNNING) ? RETRY_AFTER_MS : 0;
		this.end.refuseAs(request, new Refusal(reason, outcome, retryAfterMs, Messages.of(reason, outcome)));
		return true;
	}

	private static RefusalReason reasonOf(Outcome outcome) {
		return switch (outcome) {
			case RAN -> RefusalReason.KEY_ENDED;
			case RUNNING -> RefusalReason.KEY_RUNNING;
			case NOT_RUN -> RefusalReason.KEY_OF_OTHER_VM;
			case UNKNOWN -> RefusalReason.KEY_OWNER_UNREACHABLE;
		};
	}

	private boolean pollTrial(ActiveRequest request) {
		boolean settled = this.fleet.isNoticeSettled(request.waitId());
		// A trial elsewhere may have crashed another server in the meantime.
		if (!settled && this.guard.isClear(request)) {
			return false;
		}
		this.dispatcher.submit(request);
		return true;
	}

	private boolean pollNotice(ActiveRequest request) {
		if (!this.fleet.isNoticeSettled(request.waitId())) {
			return false;
		}
		boolean mayTry = request.isIdempotent() && !request.isTrialUsed();
		this.retries.next(request, mayTry, RefusalReason.SERVER_FAILED);
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
	 * Looks at the time of all requests.
	 */
	void tick() {
		long now = this.clock.millis();
		for (ActiveRequest request : List.copyOf(this.active.values())) {
			tick(request, now);
		}
	}

	private void tick(ActiveRequest request, long now) {
		switch (request.stage()) {
			case READING, WAITING_FOR_TRIAL -> {
				if (now >= request.deadline()) {
					this.end.refuse(request, RefusalReason.DEADLINE_EXCEEDED, 0);
				}
			}
			case QUEUED -> tickQueued(request, now);
			case RUNNING -> tickRunning(request, now);
			default -> {
				// Looked at by poll, or ended by the node.
			}
		}
	}

	private void tickQueued(ActiveRequest request, long now) {
		if (now >= request.waitUntil()) {
			this.dispatcher.refuseWaiting(request, now);
		}
	}

	private void tickRunning(ActiveRequest request, long now) {
		for (Attempt attempt : List.copyOf(request.attempts())) {
			if (request.stage() == Stage.RUNNING && now >= attempt.endsAt() + OVERDUE_MS) {
				this.end.cancelAttempt(request, attempt);
				this.answers.failed(request, attempt, FailureKind.TIMED_OUT);
			}
		}
		if (request.stage() == Stage.RUNNING) {
			this.retries.hedge(request, now);
		}
	}

}
