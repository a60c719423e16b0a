package org.lovagevale.core.request;

import org.lovagevale.core.AuditRecorder;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.fleet.Fleet;
import org.lovagevale.core.fleet.SuspectStatus;

/**
 * Limits how many backend servers a crashing request can reach, by trials and quarantine.
 *
 * <p>
 * Invariant: a suspect request is dispatched only as a trial that has been announced to
 * peers. Not thread-safe.
 */
final class CrashGuard {

	private static final long TRIAL_RETRY_AFTER_MS = 1_000;

	private final Fleet fleet;

	private final RequestCompletion completion;

	private final AuditRecorder audit;

	private final WaitingRequests waiting;

	CrashGuard(Fleet fleet, RequestCompletion completion, AuditRecorder audit, WaitingRequests waiting) {
		this.fleet = fleet;
		this.completion = completion;
		this.audit = audit;
		this.waiting = waiting;
	}

	/**
	 * Decides whether a request may be dispatched now.
	 * @param request the request
	 * @param now the monotonic time in milliseconds
	 * @return {@code false} if the request was refused or has to wait for a trial
	 */
	boolean admit(ActiveRequest request, long now) {
		if (mayDispatch(request)) {
			return true;
		}
		switch (this.fleet.suspectStatus(request.fingerprint())) {
			case QUARANTINED -> this.completion.refuse(request, RefusalReason.QUARANTINED, 0);
			case ON_TRIAL -> awaitOtherTrial(request, now);
			default -> startTrial(request, now);
		}
		return false;
	}

	/**
	 * Returns whether a request may be dispatched. Has no side effects.
	 * @param request the request
	 * @return {@code true} if the request is not suspect or is itself the running trial
	 */
	boolean mayDispatch(ActiveRequest request) {
		SuspectStatus status = this.fleet.suspectStatus(request.fingerprint());
		return status == SuspectStatus.CLEAR || status != SuspectStatus.QUARANTINED && request.isOnTrial();
	}

	// Most suspect requests merely ran on a server while another request crashed it, so
	// the trial is likely to clear them: wait for it instead of refusing.
	private void awaitOtherTrial(ActiveRequest request, long now) {
		long until = Math.min(request.deadline(), request.arrivedAt() + request.policy().queueMs());
		if (now >= until) {
			this.completion.refuse(request, RefusalReason.ON_TRIAL, TRIAL_RETRY_AFTER_MS);
			return;
		}
		request.waitUntil(RequestStage.WAITING_FOR_OTHER_TRIAL, until);
		this.waiting.add(request);
	}

	/**
	 * Returns whether a request still has to wait for the trial of another request with
	 * the same fingerprint.
	 * @param request the request
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if the request has to wait
	 */
	boolean isOtherTrialRunning(ActiveRequest request, long now) {
		return now < request.waitEndsAt() && this.fleet.suspectStatus(request.fingerprint()) == SuspectStatus.ON_TRIAL;
	}

	private void startTrial(ActiveRequest request, long now) {
		if (request.isTrialUsed()) {
			this.completion.refuse(request, RefusalReason.ON_TRIAL, TRIAL_RETRY_AFTER_MS);
			return;
		}
		long trialMs = Math.max(1, request.deadline() - now);
		request.startTrial();
		long notice = this.fleet.startTrial(request.fingerprint(), trialMs, request.scope().regions());
		request.waitFor(RequestStage.WAITING_FOR_TRIAL, notice);
		this.waiting.add(request);
		this.audit.add("request.trial", "request", request.id().toString(), "fingerprint",
				request.fingerprint().value());
	}

	/**
	 * Records a strike against a request whose connection was lost before the head of an
	 * answer arrived.
	 *
	 * <p>
	 * A request that merely ran on the server while another request crashed it also gets
	 * a strike, and is cleared by its trial.
	 * @param request the request
	 * @param attempt the attempt that was lost
	 * @return {@code true} if the request has to wait until peers have been notified
	 */
	boolean recordStrike(ActiveRequest request, Attempt attempt) {
		// Peers end the trial when they receive the strike, so no separate notice is
		// needed.
		request.endTrial();
		long notice = this.fleet.recordCrash(request.fingerprint(), request.scope().regions());
		this.audit.add("request.strike", "request", request.id().toString(), "fingerprint",
				request.fingerprint().value(), "server", attempt.server().toString());
		if (!request.attempts().isEmpty()) {
			return false;
		}
		request.waitFor(RequestStage.WAITING_FOR_NOTICE, notice);
		this.waiting.add(request);
		return true;
	}

}
