package org.lovagevale.core.request;

import org.lovagevale.base.Clock;
import org.lovagevale.core.RefusalReason;

/**
 * Decides whether a request whose attempt failed is tried again.
 *
 * <p>
 * Not thread-safe.
 */
final class Retries {

	private static final int MOST_ATTEMPTS = 3;

	private static final long RETRY_AFTER_MS = 1_000;

	private final Clock clock;

	private final Dispatcher dispatcher;

	private final CrashGuard guard;

	private final RequestEnd end;

	Retries(Clock clock, Dispatcher dispatcher, CrashGuard guard, RequestEnd end) {
		this.clock = clock;
		this.dispatcher = dispatcher;
		this.guard = guard;
		this.end = end;
	}

	/**
	 * Goes on after an attempt ended without an answer for the caller.
	 * @param request the request
	 * @param safe whether it may be sent again
	 * @param reason why it is refused otherwise
	 */
	void next(ActiveRequest request, boolean safe, RefusalReason reason) {
		if (!request.attempts().isEmpty()) {
			return;
		}
		if (request.isCallerGone()) {
			this.end.abandon(request);
			return;
		}
		if (safe && mayRetry(request) && request.pool().retries().tryTake()) {
			this.dispatcher.submit(request);
			return;
		}
		this.end.refuse(request, reason, (reason == RefusalReason.OVERLOADED) ? RETRY_AFTER_MS : 0);
	}

	private boolean mayRetry(ActiveRequest request) {
		return isRepeatable(request) && request.dispatched() < MOST_ATTEMPTS && this.clock.millis() < request.deadline()
				&& request.scope().hasServerFor(request) && this.dispatcher.closedReason() == null;
	}

	private static boolean isRepeatable(ActiveRequest request) {
		boolean safe = (request.isIdempotent() || !request.mayHaveRun()) && request.canSendBody();
		return safe && !request.head().retried() && request.policy().retryPercent() > 0 && request.barred() == null;
	}

	/**
	 * Sends a second attempt if the first one takes long and the settings ask for that.
	 * @param request the request, which is running
	 * @param now the monotonic time in milliseconds
	 */
	void hedge(ActiveRequest request, long now) {
		long afterMs = request.policy().hedgeAfterMs();
		if (afterMs <= 0 || !request.isIdempotent() || request.dispatched() != 1 || request.attempts().size() != 1) {
			return;
		}
		boolean late = now - request.attempts().get(0).startedAt() >= afterMs && now < request.deadline();
		if (!late || !isRepeatable(request) || !request.head().hasResendableBody() || request.isOnTrial()
				|| !this.guard.isClear(request)) {
			return;
		}
		RetryBudget budget = request.pool().retries();
		if (!budget.isEmpty() && this.dispatcher.tryDispatch(request, now)) {
			budget.tryTake();
		}
	}

}
