package org.lovagevale.core.request;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.core.DecisionSink;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.decision.Dispatch;
import org.lovagevale.core.fleet.Fleet;
import org.lovagevale.core.fleet.WorkPermission;
import org.lovagevale.core.request.RequestQueue.Displaced;
import org.lovagevale.core.request.RequestQueue.Offer;

/**
 * Sends requests to backend servers or lets them wait.
 *
 * <p>
 * Invariant: the permission to start work is checked immediately before each dispatch,
 * and a request that is not idempotent is dispatched only while no earlier attempt may
 * have run. Not thread-safe.
 */
final class Dispatcher {

	private static final long RETRY_AFTER_MS = 1_000;

	private final Clock clock;

	private final Fleet fleet;

	private final Router router;

	private final CrashGuard guard;

	private final RequestEnd end;

	private final DecisionSink sink;

	Dispatcher(Clock clock, Fleet fleet, Router router, CrashGuard guard, RequestEnd end, DecisionSink sink) {
		this.clock = clock;
		this.fleet = fleet;
		this.router = router;
		this.guard = guard;
		this.end = end;
		this.sink = sink;
	}

	/**
	 * Returns the reason for which no work may start.
	 * @return the reason, or {@code null} if work may start
	 */
	@Nullable RefusalReason closedReason() {
		return switch (this.fleet.permission()) {
			case OPEN -> null;
			case STARTING -> RefusalReason.STARTING;
			case FENCED -> RefusalReason.FENCED;
			case STOPPED -> RefusalReason.STOPPING;
		};
	}

	/**
	 * Dispatches, queues or refuses a request.
	 * @param request the request, which has no running attempt
	 */
	void submit(ActiveRequest request) {
		long now = this.clock.millis();
		RefusalReason refused = refusedReason(request, now);
		if (refused != null) {
			this.end.refuse(request, refused, (refused == RefusalReason.DEADLINE_EXCEEDED) ? 0 : RETRY_AFTER_MS);
			return;
		}
		if (!this.guard.admit(request, now)) {
			return;
		}
		ServicePool pool = request.pool();
		if (pool.queue().isEmpty() && tryDispatch(request, now)) {
			return;
		}
		enqueue(request, now);
	}

	private @Nullable RefusalReason refusedReason(ActiveRequest request, long now) {
		if (request.barred() != null) {
			return request.barred();
		}
		if (now >= request.deadline()) {
			return RefusalReason.DEADLINE_EXCEEDED;
		}
		RefusalReason closed = closedReason();
		if (closed != null) {
			return closed;
		}
		return (request.scope().hasServerFor(request)) ? null : RefusalReason.NO_SERVER;
	}

	private void enqueue(ActiveRequest request, long now) {
		long until = Math.min(request.deadline(), request.arrivedAt() + request.policy().queueMs());
		int capacity = request.pool().policy().queueLength();
		if (now >= until || capacity == 0) {
			refuseWaiting(request, now);
			return;
		}
		boolean first = request.pool().queue().isEmpty();
		request.waitUntil(Stage.QUEUED, until);
		Displaced displaced = request.pool().queue().add(request, capacity);
		if (displaced != null) {
			RefusalReason reason = (displaced.overShare()) ? RefusalReason.ACCOUNT_OVER_RATE : RefusalReason.OVERLOADED;
			this.end.refuse(displaced.request(), reason, RETRY_AFTER_MS);
		}
		// A first request was tried just now.
		if (!first) {
			pump(request.pool());
		}
	}

	/**
	 * Refuses a request that waited as long as it may.
	 * @param request the request
	 * @param now the monotonic time in milliseconds
	 */
	void refuseWaiting(ActiveRequest request, long now) {
		RefusalReason closed = closedReason();
		if (now >= request.deadline()) {
			this.end.refuse(request, RefusalReason.DEADLINE_EXCEEDED, 0);
		}
		else if (closed != null) {
			this.end.refuse(request, closed, RETRY_AFTER_MS);
		}
		else {
			boolean busy = request.pool().isLimitReached() || hasWarmServer(request);
			this.end.refuse(request, (busy) ? RefusalReason.OVERLOADED : RefusalReason.NO_SERVER, RETRY_AFTER_MS);
		}
	}

	private static boolean hasWarmServer(ActiveRequest request) {
		for (TrackedServer server : request.scope().servers()) {
			if (server.isInService() && server.isWarm()) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Dispatches queued requests of a service while backend servers can take them.
	 * @param pool the service
	 */
	void pump(ServicePool pool) {
		if (pool.queue().isEmpty() || this.fleet.permission() != WorkPermission.OPEN) {
			return;
		}
		long now = this.clock.millis();
		List<Scope> blocked = new ArrayList<>(2);
		List<ActiveRequest> suspects = new ArrayList<>(0);
		pool.queue().offer((request) -> offer(request, blocked, suspects, now));
		// Refusing or starting a trial would change the queue while it is iterated.
		for (ActiveRequest request : suspects) {
			submit(request);
		}
	}

	private Offer offer(ActiveRequest request, List<Scope> blocked, List<ActiveRequest> suspects, long now) {
		if (request.pool().isLimitReached()) {
			return Offer.STOP;
		}
		if (blocked.contains(request.scope()) || now >= request.waitUntil()) {
			return Offer.LEFT;
		}
		if (!this.guard.isClear(request)) {
			request.enter(Stage.READING);
			suspects.add(request);
			return Offer.TAKEN;
		}
		if (tryDispatch(request, now)) {
			return Offer.TAKEN;
		}
		// A first attempt has the widest choice; if it finds none, neither do others.
		if (request.dispatched() == 0) {
			blocked.add(request.scope());
		}
		return Offer.LEFT;
	}

	/**
	 * Dispatches a request if a backend server can take it now.
	 * @param request the request, which passed the crash guard
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if it was dispatched
	 */
	boolean tryDispatch(ActiveRequest request, long now) {
		if (request.pool().isLimitReached() || !request.isIdempotent() && request.mayHaveRun()) {
			return false;
		}
		Selection selection = this.router.choose(request, now);
		if (selection == null) {
			return false;
		}
		if (this.fleet.permission() != WorkPermission.OPEN) {
			return false;
		}
		TrackedServer server = selection.server();
		Attempt attempt = request.startAttempt(server, selection.timeoutMs(), now);
		server.start();
		boolean retried = request.head().retried() || attempt.number() > 1;
		this.sink.add(new Dispatch(request.id(), attempt.number(), server.definition(),
				this.clock.epochMillis() + selection.timeoutMs(), selection.timeoutMs(), retried, selection.choice()));
		return true;
	}

}
