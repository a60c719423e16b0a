package org.lovagevale.core.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.Clock;
import org.lovagevale.base.RandomSource;
import org.lovagevale.core.AuditRecorder;
import org.lovagevale.core.DecisionSink;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.ServerStatus;
import org.lovagevale.core.event.AnswerEnded;
import org.lovagevale.core.event.AnswerHeadArrived;
import org.lovagevale.core.event.AttemptFailed;
import org.lovagevale.core.event.CallerGone;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.HeadArrived;
import org.lovagevale.core.event.PrefixArrived;
import org.lovagevale.core.event.ProbeEnded;
import org.lovagevale.core.event.Ticked;
import org.lovagevale.core.fleet.Fleet;
import org.lovagevale.core.keys.IdempotencyKeyStore;
import org.lovagevale.settings.model.AccountSettings;
import org.lovagevale.settings.model.Settings;

/**
 * Decides where the requests of callers run, when they are retried and how they are
 * answered.
 *
 * <p>
 * Invariant: every request gets exactly one answer, unless its caller has disconnected.
 * Not thread-safe.
 */
public final class RequestLogic {

	private final ProcessIdentity self;

	private final Clock clock;

	private final Fleet fleet;

	private final Map<RequestId, ActiveRequest> activeRequests = new LinkedHashMap<>();

	private final AccountRateLimiter rateLimiter = new AccountRateLimiter();

	private final ServerTable table;

	private final Router router;

	private final RequestCompletion completion;

	private final Dispatcher dispatcher;

	private final RequestAdmission admission;

	private final AttemptEventHandler attemptEvents;

	private final RequestPoller poller;

	private final Prober prober;

	private @Nullable SettingsIndex settingsIndex;

	private long lateEvents;

	/**
	 * Creates the logic without settings.
	 * @param self this process
	 * @param clock the source of monotonic and wall-clock time
	 * @param random the source of random numbers
	 * @param fleet the state of other processes and the settings in force
	 * @param keys the store of idempotency keys
	 * @param sink receives the decisions
	 */
	public RequestLogic(ProcessIdentity self, Clock clock, RandomSource random, Fleet fleet, IdempotencyKeyStore keys,
			DecisionSink sink) {
		this.self = self;
		this.clock = clock;
		this.fleet = fleet;
		AuditRecorder audit = new AuditRecorder(clock, sink);
		WaitingRequests waiting = new WaitingRequests();
		KeyOwnership keyOwnership = new KeyOwnership(self, keys);
		this.table = new ServerTable(self.vm(), fleet, audit);
		this.router = new Router(fleet, random);
		this.completion = new RequestCompletion(clock, this.activeRequests, fleet, keys, keyOwnership, sink);
		CrashGuard guard = new CrashGuard(fleet, this.completion, audit, waiting);
		this.dispatcher = new Dispatcher(clock, fleet, this.router, guard, this.completion, sink);
		this.admission = new RequestAdmission(clock, this.activeRequests, fleet, keys, keyOwnership, this.rateLimiter,
				this.dispatcher, this.completion, waiting, sink);
		RetryHandler retryHandler = new RetryHandler(clock, this.dispatcher, guard, this.completion);
		ServerOutcomeRecorder recorder = new ServerOutcomeRecorder(this.table, audit);
		this.attemptEvents = new AttemptEventHandler(clock, this.activeRequests, recorder, guard, retryHandler,
				this.completion, sink);
		this.poller = new RequestPoller(clock, this.activeRequests, waiting, fleet, this.dispatcher, guard,
				retryHandler, this.attemptEvents, this.completion);
		this.prober = new Prober(clock, fleet, this.table, recorder, sink);
	}

	/**
	 * Returns the status of all backend servers, for display to operators.
	 * @return the status of each backend server
	 */
	public List<ServerStatus> servers() {
		return this.table.statuses(this.clock.millis());
	}

	/**
	 * Returns the number of requests in progress, including waiting requests.
	 * @return the number of requests
	 */
	public int running() {
		return this.activeRequests.size();
	}

	/**
	 * Returns the number of requests that wait for a backend server.
	 * @return the number of requests
	 */
	public int queued() {
		int queued = 0;
		for (ServiceState service : this.table.services()) {
			queued += service.queue().size();
		}
		return queued;
	}

	/**
	 * Returns the number of events that arrived too late, such as those of attempts and
	 * probes that had already ended.
	 * @return the number of events since the start
	 */
	public long lateEvents() {
		return this.lateEvents;
	}

	/**
	 * Handles an event.
	 * @param event the event, which the fleet must have handled before
	 */
	public void apply(Event event) {
		applySettingsInForce();
		boolean current = switch (event) {
			case HeadArrived head -> handleHead(head);
			case PrefixArrived prefix -> this.admission.handlePrefix(prefix);
			case AnswerHeadArrived head -> this.attemptEvents.handleHead(head);
			case AnswerEnded ended -> this.attemptEvents.handleEnd(ended);
			case AttemptFailed failed -> this.attemptEvents.handleFailure(failed);
			case CallerGone gone -> this.attemptEvents.handleCallerGone(gone);
			case ProbeEnded ended -> this.prober.handleEnd(ended);
			case Ticked ticked -> tick();
			default -> true;
		};
		if (!current) {
			this.lateEvents++;
		}
		this.poller.poll();
		dispatchReleasedServices();
	}

	private boolean handleHead(HeadArrived event) {
		if (this.activeRequests.containsKey(event.id())) {
			return false;
		}
		this.admission.handleHead(event, this.settingsIndex);
		return true;
	}

	private boolean tick() {
		this.router.tick();
		this.table.tick(this.clock.millis());
		this.poller.tick();
		for (ServiceState service : this.table.services()) {
			this.dispatcher.dispatchQueued(service);
		}
		if (this.settingsIndex != null) {
			this.prober.tick(this.settingsIndex.settings().measuring());
		}
		return true;
	}

	private void dispatchReleasedServices() {
		ServiceState service = this.table.takeReleased();
		while (service != null) {
			this.dispatcher.dispatchQueued(service);
			service = this.table.takeReleased();
		}
	}

	private void applySettingsInForce() {
		Settings settings = this.fleet.settings();
		if (settings == null || this.settingsIndex != null && this.settingsIndex.settings() == settings) {
			return;
		}
		List<ActiveRequest> queued = new ArrayList<>();
		for (ServiceState service : this.table.services()) {
			queued.addAll(service.queue().drain());
		}
		this.table.configure(settings, this.clock.millis());
		SettingsIndex newSettingsIndex = new SettingsIndex(settings, this.self.vm(), this.table);
		this.settingsIndex = newSettingsIndex;
		this.rateLimiter.retainAccounts(newSettingsIndex);
		this.router.setColdMinimumMs(settings.measuring().coldMinimumMs());
		this.attemptEvents.setReplayBytes(settings.keys().replayBytes());
		for (ActiveRequest request : List.copyOf(this.activeRequests.values())) {
			rebind(request, newSettingsIndex);
		}
		for (ActiveRequest request : queued) {
			request.setStage(RequestStage.READING);
			this.dispatcher.submit(request);
		}
	}

	private void rebind(ActiveRequest request, SettingsIndex newSettingsIndex) {
		RouteEntry route = newSettingsIndex.match(request.head().method(), request.head().path());
		AccountName name = request.account();
		AccountSettings account = (name != null) ? newSettingsIndex.account(name) : null;
		if (route == null) {
			request.block(RefusalReason.NO_SUCH_SERVICE);
		}
		else if (name != null && account == null) {
			request.block(RefusalReason.NO_SUCH_ACCOUNT);
		}
		else if (!route.scopeFor(account).includesSelf()) {
			request.block(RefusalReason.OUTSIDE_HOME_REGIONS);
		}
		else {
			request.setScope(route.scopeFor(account), account);
		}
		RefusalReason blockedReason = request.blockedReason();
		if (blockedReason != null
				&& (request.stage() == RequestStage.READING || request.stage() == RequestStage.WAITING_FOR_TRIAL
						|| request.stage() == RequestStage.WAITING_FOR_OTHER_TRIAL)) {
			this.completion.refuse(request, blockedReason, 0);
		}
	}

}
