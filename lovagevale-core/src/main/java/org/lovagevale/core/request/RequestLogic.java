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
 * Decides on the requests of callers: where they run, when they are tried again and how
 * they are answered.
 *
 * <p>
 * Invariant: every request gets exactly one answer, unless its caller is gone. Not
 * thread-safe.
 */
public final class RequestLogic {

	private final ProcessIdentity self;

	private final Clock clock;

	private final Fleet fleet;

	private final Map<RequestId, ActiveRequest> active = new LinkedHashMap<>();

	private final AccountRates rates = new AccountRates();

	private final ServerTable table;

	private final Router router;

	private final RequestEnd end;

	private final Dispatcher dispatcher;

	private final Intake intake;

	private final Answers answers;

	private final Waits waits;

	private final Prober prober;

	private @Nullable Catalog catalog;

	private long lateEvents;

	/**
	 * Creates the logic without settings.
	 * @param self this process
	 * @param clock the time
	 * @param random the source of random numbers
	 * @param fleet what is known of other processes and of the settings
	 * @param keys the memory of idempotency keys
	 * @param sink takes the decisions
	 */
	public RequestLogic(ProcessIdentity self, Clock clock, RandomSource random, Fleet fleet, IdempotencyKeyStore keys,
			DecisionSink sink) {
		this.self = self;
		this.clock = clock;
		this.fleet = fleet;
		AuditRecorder audit = new AuditRecorder(clock, sink);
		WaitingRequests waiting = new WaitingRequests();
		KeyGate keyGate = new KeyGate(self, keys);
		this.table = new ServerTable(self.vm(), fleet, audit);
		this.router = new Router(fleet, random);
		this.end = new RequestEnd(clock, this.active, fleet, keys, keyGate, sink);
		CrashGuard guard = new CrashGuard(fleet, this.end, audit, waiting);
		this.dispatcher = new Dispatcher(clock, fleet, this.router, guard, this.end, sink);
		this.intake = new Intake(clock, this.active, fleet, keys, keyGate, this.rates, this.dispatcher, this.end,
				waiting, sink);
		Retries retries = new Retries(clock, this.dispatcher, guard, this.end);
		ServerOutcomeRecorder recorder = new ServerOutcomeRecorder(this.table, audit);
		this.answers = new Answers(clock, this.active, recorder, guard, retries, this.end, sink);
		this.waits = new Waits(clock, this.active, waiting, fleet, this.dispatcher, guard, retries, this.answers,
				this.end);
		this.prober = new Prober(clock, fleet, this.table, recorder, sink);
	}

	/**
	 * Returns the backend servers for operators.
	 * @return the status of each backend server
	 */
	public List<ServerStatus> servers() {
		return this.table.statuses(this.clock.millis());
	}

	/**
	 * Returns the requests in progress, including those that wait.
	 * @return the number of requests
	 */
	public int running() {
		return this.active.size();
	}

	/**
	 * Returns the requests that wait for a backend server.
	 * @return the number of requests
	 */
	public int queued() {
		int queued = 0;
		for (ServicePool pool : this.table.pools()) {
			queued += pool.queue().size();
		}
		return queued;
	}

	/**
	 * Returns the events of attempts and probes that were no longer current.
	 * @return the number of events since the start
	 */
	public long lateEvents() {
		return this.lateEvents;
	}

	/**
	 * Handles an event.
	 * @param event the event, which the fleet has handled already
	 */
	public void apply(Event event) {
		useSettingsInForce();
		boolean current = switch (event) {
			case HeadArrived head -> head(head);
			case PrefixArrived prefix -> this.intake.prefix(prefix);
			case AnswerHeadArrived head -> this.answers.head(head);
			case AnswerEnded ended -> this.answers.ended(ended);
			case AttemptFailed failed -> this.answers.failed(failed);
			case CallerGone gone -> this.answers.callerGone(gone);
			case ProbeEnded ended -> this.prober.ended(ended);
			case Ticked ticked -> tick();
			default -> true;
		};
		if (!current) {
			this.lateEvents++;
		}
		this.waits.poll();
		pumpReleased();
	}

	private boolean head(HeadArrived event) {
		if (this.active.containsKey(event.id())) {
			return false;
		}
		this.intake.head(event, this.catalog);
		return true;
	}

	private boolean tick() {
		this.router.tick();
		this.table.tick(this.clock.millis());
		this.waits.tick();
		for (ServicePool pool : this.table.pools()) {
			this.dispatcher.pump(pool);
		}
		if (this.catalog != null) {
			this.prober.tick(this.catalog.settings().measuring());
		}
		return true;
	}

	private void pumpReleased() {
		ServicePool pool = this.table.takeReleased();
		while (pool != null) {
			this.dispatcher.pump(pool);
			pool = this.table.takeReleased();
		}
	}

	private void useSettingsInForce() {
		Settings settings = this.fleet.settings();
		if (settings == null || this.catalog != null && this.catalog.settings() == settings) {
			return;
		}
		List<ActiveRequest> queued = new ArrayList<>();
		for (ServicePool pool : this.table.pools()) {
			queued.addAll(pool.queue().drain());
		}
		this.table.configure(settings, this.clock.millis());
		Catalog next = new Catalog(settings, this.self.vm(), this.table);
		this.catalog = next;
		this.rates.retain(next);
		this.router.useColdMinimum(settings.measuring().coldMinimumMs());
		this.answers.useReplayBytes(settings.keys().replayBytes());
		for (ActiveRequest request : List.copyOf(this.active.values())) {
			rebind(request, next);
		}
		for (ActiveRequest request : queued) {
			request.enter(Stage.READING);
			this.dispatcher.submit(request);
		}
	}

	private void rebind(ActiveRequest request, Catalog next) {
		RouteEntry route = next.match(request.head().method(), request.head().path());
		AccountName name = request.account();
		AccountSettings account = (name != null) ? next.account(name) : null;
		if (route == null) {
			request.bar(RefusalReason.NO_SUCH_SERVICE);
		}
		else if (name != null && account == null) {
			request.bar(RefusalReason.NO_SUCH_ACCOUNT);
		}
		else if (!route.scopeFor(account).selfInside()) {
			request.bar(RefusalReason.OUTSIDE_HOME_REGIONS);
		}
		else {
			request.useScope(route.scopeFor(account), account);
		}
		RefusalReason barred = request.barred();
		if (barred != null && (request.stage() == Stage.READING || request.stage() == Stage.WAITING_FOR_TRIAL
				|| request.stage() == Stage.WAITING_FOR_OTHER_TRIAL)) {
			this.end.refuse(request, barred, 0);
		}
	}

}
