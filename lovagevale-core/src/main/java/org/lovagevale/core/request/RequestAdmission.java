package org.lovagevale.core.request;

import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.Clock;
import org.lovagevale.core.DecisionSink;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.RequestHead;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.decision.ReadPrefix;
import org.lovagevale.core.event.HeadArrived;
import org.lovagevale.core.event.PrefixArrived;
import org.lovagevale.core.fleet.Fleet;
import org.lovagevale.core.keys.IdempotencyKey;
import org.lovagevale.core.keys.IdempotencyKeyStore;
import org.lovagevale.core.keys.KeyVerdict;
import org.lovagevale.settings.model.AccountSettings;

/**
 * Admits new requests: checks the head first, then the fingerprint and the idempotency
 * key.
 *
 * <p>
 * Not thread-safe.
 */
final class RequestAdmission {

	private static final long RETRY_AFTER_MS = 1_000;

	private final Clock clock;

	private final Map<RequestId, ActiveRequest> activeRequests;

	private final Fleet fleet;

	private final IdempotencyKeyStore keys;

	private final KeyOwnership keyOwnership;

	private final AccountRateLimiter rateLimiter;

	private final Dispatcher dispatcher;

	private final RequestCompletion completion;

	private final WaitingRequests waiting;

	private final DecisionSink sink;

	RequestAdmission(Clock clock, Map<RequestId, ActiveRequest> activeRequests, Fleet fleet, IdempotencyKeyStore keys,
			KeyOwnership keyOwnership, AccountRateLimiter rateLimiter, Dispatcher dispatcher,
			RequestCompletion completion, WaitingRequests waiting, DecisionSink sink) {
		this.clock = clock;
		this.activeRequests = activeRequests;
		this.fleet = fleet;
		this.keys = keys;
		this.keyOwnership = keyOwnership;
		this.rateLimiter = rateLimiter;
		this.dispatcher = dispatcher;
		this.completion = completion;
		this.waiting = waiting;
		this.sink = sink;
	}

	/**
	 * Handles the head of a request.
	 * @param event the event
	 * @param settingsIndex the index of the settings in force, or {@code null} if there
	 * are no settings yet
	 */
	void handleHead(HeadArrived event, @Nullable SettingsIndex settingsIndex) {
		RequestHead head = event.head();
		if (settingsIndex == null) {
			refuse(event, RefusalReason.STARTING, RETRY_AFTER_MS);
			return;
		}
		RouteEntry route = settingsIndex.match(head.method(), head.path());
		if (route == null) {
			refuse(event, RefusalReason.NO_SUCH_SERVICE, 0);
			return;
		}
		AccountName name = head.account();
		AccountSettings account = (name != null) ? settingsIndex.account(name) : null;
		if (name != null && account == null) {
			refuse(event, RefusalReason.NO_SUCH_ACCOUNT, 0);
			return;
		}
		RoutingScope scope = route.scopeFor(account);
		if (!scope.includesSelf()) {
			refuse(event, RefusalReason.OUTSIDE_HOME_REGIONS, 0);
			return;
		}
		admit(event, settingsIndex, scope, account);
	}

	private void refuse(HeadArrived event, RefusalReason reason, long retryAfterMs) {
		this.completion.refuseNew(event.id(), parseKey(event.head().key()), reason, retryAfterMs);
	}

	private static @Nullable IdempotencyKey parseKey(@Nullable String text) {
		if (text == null) {
			return null;
		}
		try {
			return IdempotencyKey.parse(text);
		}
		catch (IllegalArgumentException ex) {
			// No process ever accepts a malformed key, so no outcome can be known for it.
			return null;
		}
	}

	private void admit(HeadArrived event, SettingsIndex settingsIndex, RoutingScope scope,
			@Nullable AccountSettings account) {
		RequestHead head = event.head();
		boolean usesKey = !scope.route().route().idempotent();
		IdempotencyKey key = (usesKey) ? parseKey(head.key()) : null;
		long now = this.clock.millis();
		RefusalReason reason = (usesKey && key == null) ? missingKeyReason(head, scope) : null;
		if (reason == null && head.contentLength() > scope.route().policy().maxRequestBytes()) {
			reason = RefusalReason.BODY_TOO_LARGE;
		}
		// A request with a key may be answered by a replay even if no new work may start.
		if (reason == null && key == null) {
			reason = this.dispatcher.workRefusalReason();
		}
		long waitMs = 0;
		if (reason == null && account != null) {
			waitMs = this.rateLimiter.acquire(account, now);
			reason = (waitMs > 0) ? RefusalReason.ACCOUNT_OVER_RATE : null;
		}
		if (reason != null) {
			this.completion.refuseNew(event.id(), key, reason, waitMs);
			return;
		}
		ActiveRequest request = new ActiveRequest(event.id(), head, scope, key, now);
		request.setScope(scope, account);
		this.activeRequests.put(event.id(), request);
		if (key != null && !this.keyOwnership.isOwnKey(key)) {
			queryKeyOwner(request, key);
			return;
		}
		this.sink.add(new ReadPrefix(event.id(), settingsIndex.settings().quarantine().prefixBytes(),
				request.policy().maxRequestBytes(), request.policy().idleTimeoutMs()));
	}

	private static @Nullable RefusalReason missingKeyReason(RequestHead head, RoutingScope scope) {
		if (head.key() != null) {
			return RefusalReason.KEY_MALFORMED;
		}
		return (scope.route().policy().keyRequired()) ? RefusalReason.KEY_REQUIRED : null;
	}

	private void queryKeyOwner(ActiveRequest request, IdempotencyKey key) {
		long query = this.fleet.queryOutcome(key, request.scope().regions());
		request.waitFor(RequestStage.WAITING_FOR_OUTCOME, query);
		this.waiting.add(request);
	}

	/**
	 * Handles the first bytes of the body of a request.
	 * @param event the event
	 * @return {@code false} if the event arrived too late
	 */
	boolean handlePrefix(PrefixArrived event) {
		ActiveRequest request = this.activeRequests.get(event.id());
		if (request == null || request.stage() != RequestStage.READING) {
			return false;
		}
		request.setFingerprint(event.fingerprint());
		IdempotencyKey key = request.key();
		if (key == null || admitKey(request, key)) {
			request.service().retryBudget().credit(request.policy().retryPercent());
			this.dispatcher.submit(request);
		}
		return true;
	}

	private boolean admitKey(ActiveRequest request, IdempotencyKey key) {
		KeyVerdict verdict = this.keys.admit(key, request.fingerprint(), request.account());
		switch (verdict) {
			case KeyVerdict.Accepted accepted -> {
				request.acceptKey();
				return true;
			}
			case KeyVerdict.Rejected rejected -> this.completion.refuseAs(request, rejected.refusal());
			case KeyVerdict.Answered answered -> this.completion.replay(request, answered.answer());
			case KeyVerdict.OtherOwner otherOwner -> queryKeyOwner(request, key);
		}
		return false;
	}

}
