package org.lovagevale.core.request;

import org.lovagevale.core.AuditRecorder;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.fleet.Fleet;
import org.lovagevale.core.fleet.SuspectStatus;

/**
 * Keeps requests that crash backend servers from reaching many of them.
 *
 * <p>
 * Invariant: a suspect request is dispatched only as a trial of which peers were told.
 * Not thread-safe.
 */
final class CrashGuard {

	private static final long TRIAL_RETRY_MS = 1_000;

	private final Fleet fleet;

	private final RequestEnd end;

	private final AuditRecorder audit;

	private final WaitingRequests waiting;

	CrashGuard(Fleet fleet, RequestEnd end, AuditRecorder audit, WaitingRequests waiting) {
		this.fleet = fleet;
		this.end = end;
		this.audit = audit;
		this.waiting = waiting;
	}

	/**
	 * Decides whether a request may be dispatched now.
	 * @param request the request
	 * @param now the monotonic time in milliseconds
	 * @return {@code false} if it was refused or waits for its trial
	 */
	boolean admit(ActiveRequest request, long now) {
		if (isClear(request)) {
			return true;
		}
		switch (this.fleet.suspectStatus(request.fingerprint())) {
			case QUARANTINED -> this.end.refuse(request, RefusalReason.QUARANTINED, 0);
			case ON_TRIAL -> awaitOtherTrial(request, now);
			default -> startTrial(request, now);
		}
		return false;
	}

	/**
	 * Tells whether a request may be dispatched, without changing anything.
	 * @param request the request
	 * @return {@code true} if it is not suspect or is itself the trial
	 */
	boolean isClear(ActiveRequest request) {
		SuspectStatus status = this.fleet.suspectStatus(request.fingerprint());
		return status == SuspectStatus.CLEAR || status != SuspectStatus.QUARANTINED && request.isOnTrial();
	}

	// Most suspects only shared a server with the request that crashed it, so it is worth
	// waiting for the end of the trial.
	private void awaitOtherTrial(ActiveRequest request, long now) {
		long until = Math.min(request.deadline(), request.arrivedAt() + request.policy().queueMs());
		if (now >= until) {
			this.end.refuse(request, RefusalReason.ON_TRIAL, TRIAL_RETRY_MS);
			return;
		}
		request.waitUntil(Stage.WAITING_FOR_OTHER_TRIAL, until);
		this.waiting.add(request);
	}

	/**
	 * Tells whether a request still has to wait for the trial of another one.
	 * @param request the request
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if it has to wait
	 */
	boolean isOtherTrialRunning(ActiveRequest request, long now) {
		return now < request.waitUntil() && this.fleet.suspectStatus(request.fingerprint()) == SuspectStatus.ON_TRIAL;
	}

	private void startTrial(ActiveRequest request, long now) {
		if (request.isTrialUsed()) {
			this.end.refuse(request, RefusalReason.ON_TRIAL, TRIAL_RETRY_MS);
			return;
		}
		long trialMs = Math.max(1, request.deadline() - now);
		request.startTrial();
		long notice = this.fleet.startTrial(request.fingerprint(), trialMs, request.scope().regions());
		request.waitFor(Stage.WAITING_FOR_TRIAL, notice);
		this.waiting.add(request);
		this.audit.add("request.trial", "request", request.id().toString(), "fingerprint",
				request.fingerprint().value());
	}

	/**
	 * Counts a connection lost before the head of an answer against the request. A
	 * request that only shared the server with the one that crashed it is cleared by its
	 * trial.
	 * @param request the request
	 * @param attempt the attempt that was lost
	 * @return {@code true} if the caller has to wait until peers were told
	 */
	boolean strike(ActiveRequest request, Attempt attempt) {
		// A strike ends the trial for peers too.
		request.endTrial();
		long notice = this.fleet.strike(request.fingerprint(), request.scope().regions());
		this.audit.add("request.strike", "request", request.id().toString(), "fingerprint",
				request.fingerprint().value(), "server", attempt.server().toString());
		if (!request.attempts().isEmpty()) {
			return false;
		}
		request.waitFor(Stage.WAITING_FOR_NOTICE, notice);
		this.waiting.add(request);
		return true;
	}

}
