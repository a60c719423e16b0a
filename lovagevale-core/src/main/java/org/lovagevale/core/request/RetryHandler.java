package org.lovagevale.core.request;

import org.lovagevale.base.Clock;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.placing.HedgeCandidate;
import org.lovagevale.core.placing.HedgeDecision;

/**
 * Decides whether a request is retried after a failed attempt, or hedged during a slow
 * one.
 *
 * <p>
 * Not thread-safe.
 */
final class RetryHandler {

	private static final int MAX_ATTEMPTS = 3;

	private static final long RETRY_AFTER_MS = 1_000;

	private final Clock clock;

	private final Dispatcher dispatcher;

	private final CrashGuard guard;

	private final RequestCompletion completion;

	RetryHandler(Clock clock, Dispatcher dispatcher, CrashGuard guard, RequestCompletion completion) {
		this.clock = clock;
		this.dispatcher = dispatcher;
		this.guard = guard;
		this.completion = completion;
	}

	/**
	 * Retries or refuses a request after an attempt ended without an answer for the
	 * caller.
	 *
	 * <p>
	 * Does nothing while another attempt is running.
	 * @param request the request
	 * @param safe whether it is safe to send the request again
	 * @param reason the reason for the refusal if the request is not retried
	 */
	void retryOrRefuse(ActiveRequest request, boolean safe, RefusalReason reason) {
		if (!request.attempts().isEmpty()) {
			return;
		}
		if (request.isCallerGone()) {
			this.completion.abandon(request);
			return;
		}
		if (safe && mayRetry(request) && request.service().retryBudget().tryTake()) {
			this.dispatcher.submit(request);
			return;
		}
		this.completion.refuse(request, reason, (reason == RefusalReason.OVERLOADED) ? RETRY_AFTER_MS : 0);
	}

	private boolean mayRetry(ActiveRequest request) {
		return isRepeatable(request) && request.dispatchCount() < MAX_ATTEMPTS
				&& this.clock.millis() < request.deadline() && request.scope().hasServerFor(request)
				&& this.dispatcher.workRefusalReason() == null;
	}

	private static boolean isRepeatable(ActiveRequest request) {
		boolean safe = (request.isIdempotent() || !request.mayHaveRun()) && request.canSendBody();
		return safe && !request.head().retried() && request.policy().retryPercent() > 0
				&& request.blockedReason() == null;
	}

	/**
	 * Dispatches a hedged attempt if the first attempt takes longer than the hedging
	 * delay of the settings.
	 * @param request the request, which must be running
	 * @param now the monotonic time in milliseconds
	 */
	void hedge(ActiveRequest request, long now) {
		if (request.attempts().isEmpty() || !isHedgeDue(request, now) || !isRepeatable(request) || request.isOnTrial()
				|| !this.guard.mayDispatch(request)) {
			return;
		}
		RetryBudget budget = request.service().retryBudget();
		if (!budget.isEmpty() && this.dispatcher.tryDispatch(request, now)) {
			budget.tryTake();
		}
	}

	private static boolean isHedgeDue(ActiveRequest request, long now) {
		HedgeCandidate candidate = new HedgeCandidate(request.isIdempotent(), request.head().hasResendableBody(),
				request.dispatchCount(), request.attempts().size(), MAX_ATTEMPTS,
				now - request.attempts().get(0).startedAt(), request.deadline() - now);
		return HedgeDecision.afterDelay(request.policy().hedgeAfterMs()).isDue(candidate);
	}

}
