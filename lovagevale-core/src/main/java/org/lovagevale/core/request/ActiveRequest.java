package org.lovagevale.core.request;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.RequestHead;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.keys.IdempotencyKey;
import org.lovagevale.settings.model.AccountSettings;
import org.lovagevale.settings.model.Policy;
import org.lovagevale.settings.model.Priority;

/**
 * The state of a request in progress.
 *
 * <p>
 * Invariant: {@link #mayHaveRun()} is {@code false} only if every dispatched attempt is
 * proven not to have run on its backend server. Not thread-safe.
 */
final class ActiveRequest {

	private static final Fingerprint NO_FINGERPRINT = new Fingerprint("");

	private final RequestId id;

	private final RequestHead head;

	private final long arrivedAt;

	private final long deadline;

	private final @Nullable IdempotencyKey key;

	private final List<Attempt> attempts = new ArrayList<>(2);

	private final List<TrackedServer> triedServers = new ArrayList<>(2);

	private RoutingScope scope;

	private @Nullable RefusalReason blockedReason;

	private int accountWeight = 1;

	private boolean idempotent;

	private RequestStage stage = RequestStage.READING;

	private Fingerprint fingerprint = NO_FINGERPRINT;

	private boolean keyAccepted;

	private boolean callerGone;

	private boolean bodySent;

	private boolean onTrial;

	private boolean trialUsed;

	private int dispatchCount;

	private int possibleRunCount;

	private long waitId;

	private long waitEndsAt;

	private int answerStatus;

	ActiveRequest(RequestId id, RequestHead head, RoutingScope scope, @Nullable IdempotencyKey key, long now) {
		this.id = id;
		this.head = head;
		this.scope = scope;
		this.key = key;
		this.idempotent = scope.route().route().idempotent();
		this.arrivedAt = now;
		long maxTimeoutMs = scope.route().policy().timeoutMs();
		this.deadline = now + ((head.timeoutMs() > 0) ? Math.min(head.timeoutMs(), maxTimeoutMs) : maxTimeoutMs);
		this.waitEndsAt = this.deadline;
	}

	RequestId id() {
		return this.id;
	}

	RequestHead head() {
		return this.head;
	}

	long arrivedAt() {
		return this.arrivedAt;
	}

	long deadline() {
		return this.deadline;
	}

	@Nullable IdempotencyKey key() {
		return this.key;
	}

	@Nullable AccountName account() {
		return this.head.account();
	}

	int accountWeight() {
		return this.accountWeight;
	}

	RoutingScope scope() {
		return this.scope;
	}

	ServiceState service() {
		return this.scope.service();
	}

	Policy policy() {
		return this.scope.route().policy();
	}

	Priority priority() {
		return policy().priority();
	}

	/**
	 * Applies new settings to this request.
	 * @param scope the backend servers and regions that may serve the request
	 * @param account the client account of the request, or {@code null}
	 */
	void setScope(RoutingScope scope, @Nullable AccountSettings account) {
		this.scope = scope;
		this.accountWeight = (account != null) ? Math.max(1, account.weight()) : 1;
		// If the route was not idempotent at any time during the request, the request
		// must not run twice.
		this.idempotent = this.idempotent && scope.route().route().idempotent();
		this.blockedReason = null;
	}

	/**
	 * Prevents further dispatches because the settings in force no longer allow the
	 * request.
	 * @param reason the reason for the refusal
	 */
	void block(RefusalReason reason) {
		this.blockedReason = reason;
	}

	@Nullable RefusalReason blockedReason() {
		return this.blockedReason;
	}

	boolean isIdempotent() {
		return this.idempotent;
	}

	RequestStage stage() {
		return this.stage;
	}

	void setStage(RequestStage next) {
		this.stage = next;
	}

	/**
	 * Enters a stage that ends when the fleet reports a result.
	 * @param next the stage
	 * @param waitId the ID of the query or notice whose result is awaited
	 */
	void waitFor(RequestStage next, long waitId) {
		this.stage = next;
		this.waitId = waitId;
	}

	long waitId() {
		return this.waitId;
	}

	/**
	 * Enters a stage that ends at a given time.
	 * @param next the stage
	 * @param until the end of the stage as monotonic time in milliseconds
	 */
	void waitUntil(RequestStage next, long until) {
		this.stage = next;
		this.waitEndsAt = until;
	}

	long waitEndsAt() {
		return this.waitEndsAt;
	}

	Fingerprint fingerprint() {
		return this.fingerprint;
	}

	void setFingerprint(Fingerprint fingerprint) {
		this.fingerprint = fingerprint;
	}

	boolean isKeyAccepted() {
		return this.keyAccepted;
	}

	void acceptKey() {
		this.keyAccepted = true;
	}

	boolean isCallerGone() {
		return this.callerGone;
	}

	void markCallerGone() {
		this.callerGone = true;
	}

	boolean isOnTrial() {
		return this.onTrial;
	}

	boolean isTrialUsed() {
		return this.trialUsed;
	}

	void startTrial() {
		this.onTrial = true;
		this.trialUsed = true;
	}

	void endTrial() {
		this.onTrial = false;
	}

	/**
	 * Starts an attempt.
	 * @param server the backend server
	 * @param timeoutMs the timeout of the attempt in milliseconds
	 * @param now the monotonic time in milliseconds
	 * @return the attempt
	 */
	Attempt startAttempt(TrackedServer server, long timeoutMs, long now) {
		this.dispatchCount++;
		this.possibleRunCount++;
		this.triedServers.add(server);
		Attempt attempt = new Attempt(this.dispatchCount, server, now, now + timeoutMs);
		this.attempts.add(attempt);
		this.stage = RequestStage.RUNNING;
		return attempt;
	}

	/**
	 * Returns the running attempt with a given number.
	 * @param number the number of the attempt
	 * @return the attempt, or {@code null} if it is not running
	 */
	@Nullable Attempt attempt(int number) {
		for (Attempt attempt : this.attempts) {
			if (attempt.number() == number) {
				return attempt;
			}
		}
		return null;
	}

	List<Attempt> attempts() {
		return this.attempts;
	}

	void endAttempt(Attempt attempt) {
		this.attempts.remove(attempt);
	}

	/**
	 * Records that the backend server is proven not to have run an ended attempt.
	 */
	void markNotRun() {
		this.possibleRunCount--;
	}

	/**
	 * Records that an attempt sent at least part of the body.
	 */
	void markBodySent() {
		this.bodySent = true;
	}

	/**
	 * Returns whether another attempt can send the whole body.
	 * @return {@code false} if body bytes were sent and the body is too large to be
	 * buffered for a retry
	 */
	boolean canSendBody() {
		return !this.bodySent || this.head.hasResendableBody();
	}

	boolean mayHaveRun() {
		return this.possibleRunCount > 0;
	}

	int dispatchCount() {
		return this.dispatchCount;
	}

	boolean hasTried(TrackedServer server) {
		return !this.triedServers.isEmpty() && this.triedServers.contains(server);
	}

	int answerStatus() {
		return this.answerStatus;
	}

	void startAnswer(int status) {
		this.stage = RequestStage.ANSWERING;
		this.answerStatus = status;
	}

}
