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
import org.lovagevale.core.request.RequestQueue.Evicted;
import org.lovagevale.core.request.RequestQueue.Offer;

/**
 * Dispatches requests to backend servers, or queues them until a server has capacity.
 *
 * <p>
 * Invariant: the permission to start work is checked immediately before each dispatch,
 * and a request that is not idempotent is dispatched only if no earlier attempt may have
 * run. Not thread-safe.
 */
final class Dispatcher {

	private static final long RETRY_AFTER_MS = 1_000;

	private final Clock clock;

	private final Fleet fleet;

	private final Router router;

	private final CrashGuard guard;

	private final RequestCompletion completion;

	private final DecisionSink sink;

	Dispatcher(Clock clock, Fleet fleet, Router router, CrashGuard guard, RequestCompletion completion,
			DecisionSink sink) {
		this.clock = clock;
		this.fleet = fleet;
		this.router = router;
		this.guard = guard;
		this.completion = completion;
		this.sink = sink;
	}

	/**
	 * Returns the reason why this process may not start work.
	 * @return the reason, or {@code null} if work may start
	 */
	@Nullable RefusalReason workRefusalReason() {
		return switch (this.fleet.permission()) {
			case OPEN -> null;
			case STARTING -> RefusalReason.STARTING;
			case FENCED -> RefusalReason.FENCED;
			case STOPPED -> RefusalReason.STOPPING;
		};
	}

	/**
	 * Dispatches, queues or refuses a request.
	 * @param request the request, which must have no running attempt
	 */
	void submit(ActiveRequest request) {
		long now = this.clock.millis();
		RefusalReason refused = refusalReason(request, now);
		if (refused != null) {
			this.completion.refuse(request, refused, (refused == RefusalReason.DEADLINE_EXCEEDED) ? 0 : RETRY_AFTER_MS);
			return;
		}
		if (!this.guard.admit(request, now)) {
			return;
		}
		ServiceState service = request.service();
		if (service.queue().isEmpty() && tryDispatch(request, now)) {
			return;
		}
		enqueue(request, now);
	}

	private @Nullable RefusalReason refusalReason(ActiveRequest request, long now) {
		if (request.blockedReason() != null) {
			return request.blockedReason();
		}
		if (now >= request.deadline()) {
			return RefusalReason.DEADLINE_EXCEEDED;
		}
		RefusalReason workRefusal = workRefusalReason();
		if (workRefusal != null) {
			return workRefusal;
		}
		return (request.scope().hasServerFor(request)) ? null : RefusalReason.NO_SERVER;
	}

	private void enqueue(ActiveRequest request, long now) {
		long until = Math.min(request.deadline(), request.arrivedAt() + request.policy().queueMs());
		int capacity = request.service().policy().queueLength();
		if (now >= until || capacity == 0) {
			refuseAfterWait(request, now);
			return;
		}
		boolean wasEmpty = request.service().queue().isEmpty();
		request.waitUntil(RequestStage.QUEUED, until);
		Evicted evicted = request.service().queue().add(request, capacity);
		if (evicted != null) {
			RefusalReason reason = (evicted.overShare()) ? RefusalReason.ACCOUNT_OVER_RATE : RefusalReason.OVERLOADED;
			this.completion.refuse(evicted.request(), reason, RETRY_AFTER_MS);
		}
		// If the queue was empty, submit() has just tried to dispatch this request.
		if (!wasEmpty) {
			dispatchQueued(request.service());
		}
	}

	/**
	 * Refuses a request that has reached its maximum queueing time.
	 * @param request the request
	 * @param now the monotonic time in milliseconds
	 */
	void refuseAfterWait(ActiveRequest request, long now) {
		RefusalReason workRefusal = workRefusalReason();
		if (now >= request.deadline()) {
			this.completion.refuse(request, RefusalReason.DEADLINE_EXCEEDED, 0);
		}
		else if (workRefusal != null) {
			this.completion.refuse(request, workRefusal, RETRY_AFTER_MS);
		}
		else {
			boolean busy = request.service().isLimitReached() || hasWarmServer(request);
			this.completion.refuse(request, (busy) ? RefusalReason.OVERLOADED : RefusalReason.NO_SERVER,
					RETRY_AFTER_MS);
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
	 * Dispatches queued requests of a service as long as backend servers have capacity.
	 * @param service the state of the service
	 */
	void dispatchQueued(ServiceState service) {
		if (service.queue().isEmpty() || this.fleet.permission() != WorkPermission.OPEN) {
			return;
		}
		long now = this.clock.millis();
		List<RoutingScope> exhaustedScopes = new ArrayList<>(2);
		List<ActiveRequest> suspects = new ArrayList<>(0);
		service.queue().offer((request) -> offer(request, exhaustedScopes, suspects, now));
		// Submitted after the iteration, since a refusal or the start of a trial changes
		// the queue.
		for (ActiveRequest request : suspects) {
			submit(request);
		}
	}

	private Offer offer(ActiveRequest request, List<RoutingScope> exhaustedScopes, List<ActiveRequest> suspects,
			long now) {
		if (request.service().isLimitReached()) {
			return Offer.STOP;
		}
		if (exhaustedScopes.contains(request.scope()) || now >= request.waitEndsAt()) {
			return Offer.LEFT;
		}
		if (!this.guard.mayDispatch(request)) {
			request.setStage(RequestStage.READING);
			suspects.add(request);
			return Offer.TAKEN;
		}
		if (tryDispatch(request, now)) {
			return Offer.TAKEN;
		}
		// A first attempt excludes no servers. If it finds none, no other request of the
		// same scope will.
		if (request.dispatchCount() == 0) {
			exhaustedScopes.add(request.scope());
		}
		return Offer.LEFT;
	}

	/**
	 * Dispatches a request if a backend server has capacity for it now.
	 * @param request the request, which must have passed the crash guard
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if it was dispatched
	 */
	boolean tryDispatch(ActiveRequest request, long now) {
		if (request.service().isLimitReached() || !request.isIdempotent() && request.mayHaveRun()) {
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
		server.attemptStarted();
		boolean retried = request.head().retried() || attempt.number() > 1;
		this.sink.add(new Dispatch(request.id(), attempt.number(), server.definition(),
				this.clock.epochMillis() + selection.timeoutMs(), selection.timeoutMs(), retried, selection.reason()));
		return true;
	}

}
