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
 * The state of a request that is not yet answered.
 *
 * <p>
 * Invariant: {@link #mayHaveRun()} is {@code true} while any attempt was dispatched that
 * did not provably fail to run. Not thread-safe.
 */
final class ActiveRequest {

	private static final Fingerprint NO_FINGERPRINT = new Fingerprint("");

	private final RequestId id;

	private final RequestHead head;

	private final long arrivedAt;

	private final long deadline;

	private final @Nullable IdempotencyKey key;

	private final List<Attempt> attempts = new ArrayList<>(2);

	private final List<TrackedServer> tried = new ArrayList<>(2);

	private Scope scope;

	private @Nullable RefusalReason barred;

	private int accountWeight = 1;

	private boolean idempotent;

	private Stage stage = Stage.READING;

	private Fingerprint fingerprint = NO_FINGERPRINT;

	private boolean keyAccepted;

	private boolean callerGone;

	private boolean bodySent;

	private boolean onTrial;

	private boolean trialUsed;

	private int dispatched;

	private int possibleRuns;

	private long waitId;

	private long waitUntil;

	private int answerStatus;

	ActiveRequest(RequestId id, RequestHead head, Scope scope, @Nullable IdempotencyKey key, long now) {
		this.id = id;
		this.head = head;
		this.scope = scope;
		this.key = key;
		this.idempotent = scope.route().route().idempotent();
		this.arrivedAt = now;
		long most = scope.route().policy().timeoutMs();
		this.deadline = now + ((head.timeoutMs() > 0) ? Math.min(head.timeoutMs(), most) : most);
		this.waitUntil = this.deadline;
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

	Scope scope() {
		return this.scope;
	}

	ServicePool pool() {
		return this.scope.pool();
	}

	Policy policy() {
		return this.scope.route().policy();
	}

	Priority priority() {
		return policy().priority();
	}

	/**
	 * Uses other settings from now on.
	 * @param scope where it may be served
	 * @param account its account, or {@code null}
	 */
	void useScope(Scope scope, @Nullable AccountSettings account) {
		this.scope = scope;
		this.accountWeight = (account != null) ? Math.max(1, account.weight()) : 1;
		// A route that was not idempotent at any time during the request may not repeat
		// it.
		this.idempotent = this.idempotent && scope.route().route().idempotent();
		this.barred = null;
	}

	/**
	 * Allows no further dispatch, since the settings in force no longer cover it.
	 * @param reason why
	 */
	void bar(RefusalReason reason) {
		this.barred = reason;
	}

	@Nullable RefusalReason barred() {
		return this.barred;
	}

	boolean isIdempotent() {
		return this.idempotent;
	}

	Stage stage() {
		return this.stage;
	}

	void enter(Stage next) {
		this.stage = next;
	}

	/**
	 * Enters a stage that ends with an answer of the fleet.
	 * @param next the stage
	 * @param waitId what is waited for
	 */
	void waitFor(Stage next, long waitId) {
		this.stage = next;
		this.waitId = waitId;
	}

	long waitId() {
		return this.waitId;
	}

	/**
	 * Enters a stage that ends at a time.
	 * @param next the stage
	 * @param until the monotonic time in milliseconds
	 */
	void waitUntil(Stage next, long until) {
		this.stage = next;
		this.waitUntil = until;
	}

	long waitUntil() {
		return this.waitUntil;
	}

	Fingerprint fingerprint() {
		return this.fingerprint;
	}

	void useFingerprint(Fingerprint fingerprint) {
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

	void loseCaller() {
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
	 * @param timeoutMs its timeout in milliseconds
	 * @param now the monotonic time in milliseconds
	 * @return the attempt
	 */
	Attempt startAttempt(TrackedServer server, long timeoutMs, long now) {
		this.dispatched++;
		this.possibleRuns++;
		this.tried.add(server);
		Attempt attempt = new Attempt(this.dispatched, server, now, now + timeoutMs);
		this.attempts.add(attempt);
		this.stage = Stage.RUNNING;
		return attempt;
	}

	/**
	 * Finds a running attempt.
	 * @param number its number
	 * @return the attempt, or {@code null} if it is no longer current
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
	 * Records that an ended attempt provably did not run.
	 */
	void markNotRun() {
		this.possibleRuns--;
	}

	/**
	 * Records that an attempt sent the body or a part of it.
	 */
	void markBodySent() {
		this.bodySent = true;
	}

	/**
	 * Tells whether another attempt can send the whole body.
	 * @return {@code false} if the body was sent and is too long to be kept
	 */
	boolean canSendBody() {
		return !this.bodySent || this.head.hasResendableBody();
	}

	boolean mayHaveRun() {
		return this.possibleRuns > 0;
	}

	int dispatched() {
		return this.dispatched;
	}

	boolean hasTried(TrackedServer server) {
		return !this.tried.isEmpty() && this.tried.contains(server);
	}

	int answerStatus() {
		return this.answerStatus;
	}

	void answer(int status) {
		this.stage = Stage.ANSWERING;
		this.answerStatus = status;
	}

}
