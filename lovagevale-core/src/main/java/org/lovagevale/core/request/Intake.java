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
 * Checks new requests on their head and then on their fingerprint and idempotency key.
 *
 * <p>
 * Not thread-safe.
 */
final class Intake {

	private static final long RETRY_AFTER_MS = 1_000;

	private final Clock clock;

	private final Map<RequestId, ActiveRequest> active;

	private final Fleet fleet;

	private final IdempotencyKeyStore keys;

	private final KeyGate keyGate;

	private final AccountRates rates;

	private final Dispatcher dispatcher;

	private final RequestEnd end;

	private final WaitingRequests waiting;

	private final DecisionSink sink;

	Intake(Clock clock, Map<RequestId, ActiveRequest> active, Fleet fleet, IdempotencyKeyStore keys, KeyGate keyGate,
			AccountRates rates, Dispatcher dispatcher, RequestEnd end, WaitingRequests waiting, DecisionSink sink) {
		this.clock = clock;
		this.active = active;
		this.fleet = fleet;
		this.keys = keys;
		this.keyGate = keyGate;
		this.rates = rates;
		this.dispatcher = dispatcher;
		this.end = end;
		this.waiting = waiting;
		this.sink = sink;
	}

	/**
	 * Handles the head of a request.
	 * @param event the event
	 * @param catalog the catalog in force, or {@code null} if there is none yet
	 */
	void head(HeadArrived event, @Nullable Catalog catalog) {
		RequestHead head = event.head();
		if (catalog == null) {
			refuse(event, RefusalReason.STARTING, RETRY_AFTER_MS);
			return;
		}
		RouteEntry route = catalog.match(head.method(), head.path());
		if (route == null) {
			refuse(event, RefusalReason.NO_SUCH_SERVICE, 0);
			return;
		}
		AccountName name = head.account();
		AccountSettings account = (name != null) ? catalog.account(name) : null;
		if (name != null && account == null) {
			refuse(event, RefusalReason.NO_SUCH_ACCOUNT, 0);
			return;
		}
		Scope scope = route.scopeFor(account);
		if (!scope.selfInside()) {
			refuse(event, RefusalReason.OUTSIDE_HOME_REGIONS, 0);
			return;
		}
		head(event, catalog, scope, account);
	}

	private void refuse(HeadArrived event, RefusalReason reason, long retryAfterMs) {
		this.end.refuseNew(event.id(), parse(event.head().key()), reason, retryAfterMs);
	}

	private static @Nullable IdempotencyKey parse(@Nullable String text) {
		if (text == null) {
			return null;
		}
		try {
			return IdempotencyKey.parse(text);
		}
		catch (IllegalArgumentException ex) {
			// No process ever accepts a key of another form.
			return null;
		}
	}

	private void head(HeadArrived event, Catalog catalog, Scope scope, @Nullable AccountSettings account) {
		RequestHead head = event.head();
		boolean usesKey = !scope.route().route().idempotent();
		IdempotencyKey key = (usesKey) ? parse(head.key()) : null;
		long now = this.clock.millis();
		RefusalReason reason = (usesKey && key == null) ? missingKeyReason(head, scope) : null;
		if (reason == null && head.contentLength() > scope.route().policy().maxRequestBytes()) {
			reason = RefusalReason.BODY_TOO_LARGE;
		}
		// With a key, an earlier answer may be replayed even if no new work may start.
		if (reason == null && key == null) {
			reason = this.dispatcher.closedReason();
		}
		long waitMs = 0;
		if (reason == null && account != null) {
			waitMs = this.rates.take(account, now);
			reason = (waitMs > 0) ? RefusalReason.ACCOUNT_OVER_RATE : null;
		}
		if (reason != null) {
			this.end.refuseNew(event.id(), key, reason, waitMs);
			return;
		}
		ActiveRequest request = new ActiveRequest(event.id(), head, scope, key, now);
		request.useScope(scope, account);
		this.active.put(event.id(), request);
		if (key != null && !this.keyGate.isOwn(key)) {
			askOwner(request, key);
			return;
		}
		this.sink.add(new ReadPrefix(event.id(), catalog.settings().quarantine().prefixBytes(),
				request.policy().maxRequestBytes(), request.policy().idleTimeoutMs()));
	}

	private static @Nullable RefusalReason missingKeyReason(RequestHead head, Scope scope) {
		if (head.key() != null) {
			return RefusalReason.KEY_MALFORMED;
		}
		return (scope.route().policy().keyRequired()) ? RefusalReason.KEY_REQUIRED : null;
	}

	private void askOwner(ActiveRequest request, IdempotencyKey key) {
		long query = this.fleet.queryOutcome(key, request.scope().regions());
		request.waitFor(Stage.WAITING_FOR_OUTCOME, query);
		this.waiting.add(request);
	}

	/**
	 * Handles the first bytes of the body of a request.
	 * @param event the event
	 * @return {@code false} if the event came late
	 */
	boolean prefix(PrefixArrived event) {
		ActiveRequest request = this.active.get(event.id());
		if (request == null || request.stage() != Stage.READING) {
			return false;
		}
		request.useFingerprint(event.fingerprint());
		IdempotencyKey key = request.key();
		if (key == null || isAdmitted(request, key)) {
			request.pool().retries().fill(request.policy().retryPercent());
			this.dispatcher.submit(request);
		}
		return true;
	}

	private boolean isAdmitted(ActiveRequest request, IdempotencyKey key) {
		KeyVerdict verdict = this.keys.admit(key, request.fingerprint(), request.account());
		switch (verdict) {
			case KeyVerdict.Accepted accepted -> {
				request.acceptKey();
				return true;
			}
			case KeyVerdict.Rejected rejected -> this.end.refuseAs(request, rejected.refusal());
			case KeyVerdict.Answered answered -> this.end.replay(request, answered.answer());
			case KeyVerdict.OtherOwner otherOwner -> askOwner(request, key);
		}
		return false;
	}

}
