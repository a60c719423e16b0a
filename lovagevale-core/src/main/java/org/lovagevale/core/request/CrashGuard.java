package org.lovagevale.core.request;

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

	private static final int UNRELATED_FINGERPRINTS = 3;

	// The connections of a server that dies break within a few milliseconds.
	private static final long CAUSE_WAIT_MS = 20;

	private static final long TRIAL_RETRY_MS = 1_000;

	private final Fleet fleet;

	private final RequestEnd end;

	private final Audit audit;

	private final WaitingRequests waiting;

	CrashGuard(Fleet fleet, RequestEnd end, Audit audit, WaitingRequests waiting) {
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
			case ON_TRIAL -> this.end.refuse(request, RefusalReason.ON_TRIAL, TRIAL_RETRY_MS);
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
		this.audit.record("request.trial", "request", request.id().toString(), "fingerprint",
				request.fingerprint().value());
	}

	/**
	 * Handles the loss of a connection before the head of an answer.
	 * @param request the request
	 * @param attempt the attempt that was lost
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if the caller has to wait until the cause is known or peers
	 * were told
	 */
	boolean lost(ActiveRequest request, Attempt attempt, long now) {
		LostConnections lost = attempt.server().lost();
		lost.add(request.fingerprint(), now);
		int fingerprints = lost.fingerprints(now);
		boolean moreMayFollow = fingerprints < UNRELATED_FINGERPRINTS
				&& fingerprints + attempt.server().inFlight() >= UNRELATED_FINGERPRINTS;
		if (moreMayFollow && request.attempts().isEmpty()) {
			request.useLostAttempt(attempt);
			request.waitUntil(Stage.WAITING_FOR_CAUSE, now + CAUSE_WAIT_MS);
			this.waiting.add(request);
			return true;
		}
		return judge(request, attempt, now);
	}

	/**
	 * Tells whether the cause of a loss can be decided.
	 * @param request the request
	 * @param attempt the attempt that was lost
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if it can
	 */
	boolean isCauseKnown(ActiveRequest request, Attempt attempt, long now) {
		return now >= request.waitUntil() || isUnrelated(attempt, now);
	}

	private static boolean isUnrelated(Attempt attempt, long now) {
		return attempt.server().lost().fingerprints(now) >= UNRELATED_FINGERPRINTS;
	}

	/**
	 * Counts a lost connection against the request unless the server died by itself.
	 * @param request the request
	 * @param attempt the attempt that was lost
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if the caller has to wait until peers were told
	 */
	boolean judge(ActiveRequest request, Attempt attempt, long now) {
		if (isUnrelated(attempt, now)) {
			return false;
		}
		// A strike ends the trial for peers too.
		request.endTrial();
		long notice = this.fleet.strike(request.fingerprint(), request.scope().regions());
		this.audit.record("request.strike", "request", request.id().toString(), "fingerprint",
				request.fingerprint().value(), "server", attempt.server().toString());
		if (!request.attempts().isEmpty()) {
			return false;
		}
		request.waitFor(Stage.WAITING_FOR_NOTICE, notice);
		this.waiting.add(request);
		return true;
	}

}
