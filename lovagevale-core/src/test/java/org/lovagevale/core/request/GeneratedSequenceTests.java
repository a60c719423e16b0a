package org.lovagevale.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.ShrinkingMode;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.core.FailureKind;
import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.RequestHead;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.ServerState;
import org.lovagevale.core.StoredAnswer;
import org.lovagevale.core.decision.AbortAnswer;
import org.lovagevale.core.decision.CancelAttempt;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.Dispatch;
import org.lovagevale.core.decision.PassOn;
import org.lovagevale.core.decision.Probe;
import org.lovagevale.core.decision.ReadPrefix;
import org.lovagevale.core.decision.Refuse;
import org.lovagevale.core.decision.Replay;
import org.lovagevale.core.event.AnswerEnded;
import org.lovagevale.core.event.AnswerHeadArrived;
import org.lovagevale.core.event.AttemptFailed;
import org.lovagevale.core.event.CallerGone;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.HeadArrived;
import org.lovagevale.core.event.PrefixArrived;
import org.lovagevale.core.event.ProbeEnded;
import org.lovagevale.core.event.Ticked;
import org.lovagevale.core.fleet.WorkPermission;
import org.lovagevale.core.keys.IdempotencyKey;
import org.lovagevale.core.message.ServerEntry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against faults in unforeseen sequences of events, such as late and repeated
 * answers or changes of settings and permission at any time.
 *
 * <p>
 * Applies generated events to the request logic. A model of the entry process, its
 * callers and the backend servers follows the decisions and checks each of them against
 * the state of the requests and attempts in the model.
 */
class GeneratedSequenceTests {

	private static final StoredAnswer STORED = new StoredAnswer(200, "", new byte[0]);

	@Property(seed = "20261204", tries = 400, shrinking = ShrinkingMode.BOUNDED)
	void keepsInvariants(@ForAll("steps") List<Integer> steps) {
		Model model = new Model();
		for (int step : steps) {
			model.step(step % 100, step / 100);
		}
		model.finishAndCheck();
	}

	// By default, jqwik prefers small numbers, so most events would be of a few kinds.
	@Provide
	Arbitrary<List<Integer>> steps() {
		return Arbitraries.integers()
			.between(0, 99_999)
			.withDistribution(RandomDistribution.uniform())
			.withoutEdgeCases()
			.list()
			.ofMinSize(100)
			.ofMaxSize(400);
	}

	/** The state of a request as seen by its caller. */
	private static final class ModelRequest {

		final RequestHead head;

		final Map<Integer, ModelAttempt> attempts = new HashMap<>();

		boolean awaitsPrefix;

		boolean answered;

		boolean callerGone;

		int passedOnAttempt;

		ModelRequest(RequestHead head) {
			this.head = head;
		}

		boolean isIdempotent() {
			return this.head.method().equals("GET");
		}

		long possibleRuns() {
			return this.attempts.values().stream().filter((attempt) -> !attempt.provenNotRun).count();
		}

	}

	/** The state of an attempt as seen by the backend server. */
	private static final class ModelAttempt {

		final Dispatch dispatch;

		boolean open = true;

		boolean provenNotRun;

		ModelAttempt(Dispatch dispatch) {
			this.dispatch = dispatch;
		}

	}

	/** A model of an entry process with its callers and backend servers. */
	private static final class Model {

		private static final int SERVERS = 6;

		private final SingleServiceSettings settings = new SingleServiceSettings();

		private final RequestHarness harness;

		private final Map<Long, ModelRequest> requests = new LinkedHashMap<>();

		private final List<ModelAttempt> attempts = new ArrayList<>();

		private final Map<String, Long> possibleRunsByKey = new HashMap<>();

		private final Set<String> probing = new HashSet<>();

		private long lastId;

		Model() {
			this.settings.servers = SERVERS;
			this.settings.slots = 2;
			this.settings.coldConcurrency = 1;
			this.settings.queueLength = 4;
			this.settings.warmAfterAnswers = 3;
			this.settings.retryPercent = 50;
			this.harness = RequestHarness.withWarmServers(this.settings);
			for (int i = 0; i < SERVERS; i++) {
				this.harness.fleet.ownedMsByServer.put(SingleServiceSettings.serverName(i), 800L);
			}
		}

		/**
		 * Applies one generated step.
		 * @param action selects the kind of event, from 0 to 99
		 * @param n selects the details of the event
		 */
		void step(int action, int n) {
			if (action < 18) {
				sendRequest(n);
			}
			else if (action < 22) {
				sendNextPrefix();
			}
			else if (action < 78) {
				sendServerEvent(n);
			}
			else if (action < 80) {
				apply(new CallerGone(new RequestId(1 + n % (this.lastId + 1))));
			}
			else if (action < 90) {
				this.harness.clock.advance(n % 120);
				apply(new Ticked());
			}
			else {
				changeEnvironment(n);
			}
		}

		private void sendRequest(int n) {
			this.lastId++;
			String[] routes = { "GET /vans", "GET /vans/archive", "POST /vans", "POST /vans/notes" };
			String[] route = routes[n % 4].split(" ");
			AccountName[] accounts = { null, null, null, null, null, null, null, SingleServiceSettings.NORTH_ACCOUNT,
					SingleServiceSettings.RATE_LIMITED_ACCOUNT, SingleServiceSettings.SOUTH_ACCOUNT };
			String key = (n % 4 == 2 || n % 7 == 0) ? RequestHarness.KEY_PREFIX + "k" + n / 4 % 30 : null;
			if (key != null && n % 11 == 0) {
				key = "entry-02.1-1.0.k";
			}
			long timeoutMs = (n % 3 == 0) ? 20 + n % 300 : 0;
			RequestHead head = new RequestHead(route[0], route[1], "", accounts[n / 4 % 10], key, timeoutMs,
					n % 13 == 0, 0, "127.0.0.1");
			this.requests.put(this.lastId, new ModelRequest(head));
			apply(new HeadArrived(new RequestId(this.lastId), head));
			if (n % 9 != 0) {
				sendNextPrefix();
			}
		}

		private void sendNextPrefix() {
			for (Map.Entry<Long, ModelRequest> entry : this.requests.entrySet()) {
				if (entry.getValue().awaitsPrefix && !entry.getValue().answered) {
					entry.getValue().awaitsPrefix = false;
					String key = entry.getValue().head.key();
					String fingerprint = (key != null) ? key : "f" + entry.getKey() % 12;
					apply(new PrefixArrived(new RequestId(entry.getKey()), new Fingerprint(fingerprint)));
					return;
				}
			}
		}

		// Sometimes selects an attempt that has already ended or was cancelled, so that
		// its event is late or repeated.
		private void sendServerEvent(int n) {
			List<ModelAttempt> candidates = this.attempts.stream()
				.filter((attempt) -> attempt.open || n % 4 == 0)
				.toList();
			if (candidates.isEmpty()) {
				return;
			}
			int recent = Math.min(candidates.size(), 12);
			ModelAttempt attempt = candidates.get(candidates.size() - 1 - n % recent);
			RequestId id = attempt.dispatch.id();
			int number = attempt.dispatch.attempt();
			int kind = n / 12 % 20;
			ServerState state = (kind == 0) ? ServerState.COLD : (kind == 1) ? ServerState.DRAINING : ServerState.WARM;
			LoadReport report = (kind % 4 == 3) ? null : new LoadReport(1, 2, state, "b" + ((kind == 2) ? 2 : 1));
			if (kind < 9) {
				apply(new AnswerHeadArrived(id, number, (kind == 4) ? 500 : 200, false, report));
			}
			else if (kind < 11) {
				recordNotRun(attempt);
				apply(new AnswerHeadArrived(id, number, 503, true, report));
			}
			else if (kind < 16) {
				endAnswer(attempt);
			}
			else {
				FailureKind failure = FailureKind.values()[kind - 16];
				if (failure == FailureKind.NOT_CONNECTED) {
					recordNotRun(attempt);
				}
				apply(new AttemptFailed(id, number, failure));
			}
		}

		private void recordNotRun(ModelAttempt attempt) {
			boolean passedOn = this.requests.get(attempt.dispatch.id().value()).passedOnAttempt == attempt.dispatch
				.attempt();
			if (attempt.open && !passedOn && !attempt.provenNotRun) {
				attempt.provenNotRun = true;
				addPossibleRuns(attempt, -1);
			}
		}

		private void endAnswer(ModelAttempt attempt) {
			ModelRequest request = this.requests.get(attempt.dispatch.id().value());
			boolean isPassedOn = attempt.open && request.passedOnAttempt == attempt.dispatch.attempt();
			if (isPassedOn && !request.callerGone) {
				recordAnswered(request);
			}
			apply(new AnswerEnded(attempt.dispatch.id(), attempt.dispatch.attempt(), STORED));
		}

		private void changeEnvironment(int n) {
			String server = SingleServiceSettings.serverName(n / 8 % SERVERS);
			switch (n % 8) {
				case 0 -> this.harness.fleet.permission = WorkPermission.values()[n / 8 % 4];
				case 1 -> this.harness.fleet.ownedMsByServer.put(server, (long) (n % 3) * 400);
				case 2 -> toggle(this.harness.fleet.leavingServers, server);
				case 3 -> {
					toggle(this.settings.outOfService, n / 8 % SERVERS);
					this.settings.homeRegions = (n / 8 % 20 == 0) ? Set.of(SingleServiceSettings.NORTH) : Set.of();
					this.settings.hedgeAfterMs = (n / 8 % 2 == 0) ? 30 : 0;
					this.harness.fleet.settings = this.settings.build();
					apply(new Ticked());
				}
				case 4 -> this.harness.fleet.peerReports.put(server,
						new ServerEntry(server, (n % 3 == 0) ? "COLD" : "WARM", "b1", n % 500));
				case 5 -> this.harness.fleet.noticesSettled = n / 8 % 3 != 0;
				case 6 -> this.harness.fleet.queriedOutcome = (n / 8 % 2 == 0) ? Outcome.UNKNOWN : null;
				default -> apply(new ProbeEnded(this.settings.backendServer(n / 8 % SERVERS).name(),
						(n / 8 % 2 == 0) ? RequestHarness.WARM_REPORT : null));
			}
			if (n % 8 != 0) {
				this.harness.fleet.permission = WorkPermission.OPEN;
			}
		}

		private static <T> void toggle(Set<T> set, T element) {
			if (!set.remove(element) && set.size() < 2) {
				set.add(element);
			}
		}

		private void apply(Event event) {
			updateModel(event);
			List<Decision> decisions = this.harness.apply(event);
			Map<String, ServerState> states = new HashMap<>();
			this.harness.logic.servers().forEach((status) -> states.put(status.server(), status.state()));
			for (Decision decision : decisions) {
				check(decision, states);
			}
		}

		// Records which attempt the event ends or which caller it disconnects, before the
		// resulting decisions are checked.
		private void updateModel(Event event) {
			if (event instanceof CallerGone gone && this.requests.containsKey(gone.id().value())) {
				this.requests.get(gone.id().value()).callerGone = true;
			}
			else if (event instanceof AttemptFailed failed) {
				closeAttempt(failed.id(), failed.attempt());
			}
			else if (event instanceof AnswerHeadArrived head && head.notRun()) {
				ModelRequest request = this.requests.get(head.id().value());
				if (request.passedOnAttempt != head.attempt()) {
					closeAttempt(head.id(), head.attempt());
				}
			}
			else if (event instanceof AnswerEnded ended
					&& this.requests.get(ended.id().value()).passedOnAttempt == ended.attempt()) {
				closeAttempt(ended.id(), ended.attempt());
			}
		}

		private void closeAttempt(RequestId id, int attempt) {
			this.requests.get(id.value()).attempts.get(attempt).open = false;
		}

		private void check(Decision decision, Map<String, ServerState> states) {
			switch (decision) {
				case ReadPrefix read -> this.requests.get(read.id().value()).awaitsPrefix = true;
				case Dispatch dispatch -> checkDispatch(dispatch, states);
				case CancelAttempt cancel -> closeAttempt(cancel.id(), cancel.attempt());
				case PassOn passOn -> this.requests.get(passOn.id().value()).passedOnAttempt = passOn.attempt();
				case Refuse refuse -> checkRefusal(refuse);
				case Replay replay -> recordAnswered(this.requests.get(replay.id().value()));
				case AbortAnswer abort -> recordAnswered(this.requests.get(abort.id().value()));
				case Probe probe -> {
					checkInService(probe.server().name().value());
					assertThat(this.harness.fleet.ownedMsByServer.get(probe.server().name().value())).isPositive();
				}
				default -> {
				}
			}
		}

		private void checkDispatch(Dispatch dispatch, Map<String, ServerState> states) {
			ModelRequest request = this.requests.get(dispatch.id().value());
			String server = dispatch.server().name().value();
			assertThat(this.harness.fleet.permission).isEqualTo(WorkPermission.OPEN);
			assertThat(request.answered).isFalse();
			assertThat(dispatch.timeoutMs()).isBetween(1L, 1_000L);
			checkInService(server);
			boolean inNorth = dispatch.server().region().equals(SingleServiceSettings.NORTH);
			assertThat(inNorth || this.settings.homeRegions.isEmpty()
					&& request.head.account() != SingleServiceSettings.NORTH_ACCOUNT)
				.isTrue();
			assertThat(request.head.account()).isNotEqualTo(SingleServiceSettings.SOUTH_ACCOUNT);
			ModelAttempt attempt = new ModelAttempt(dispatch);
			assertThat(request.attempts.put(dispatch.attempt(), attempt)).isNull();
			this.attempts.add(attempt);
			assertThat(request.isIdempotent() || request.possibleRuns() == 1).isTrue();
			addPossibleRuns(attempt, 1);
			if (states.get(server) != ServerState.WARM) {
				assertThat(inFlight(server)).isLessThanOrEqualTo(this.settings.coldConcurrency);
				assertThat(dispatch.timeoutMs())
					.isLessThanOrEqualTo(this.harness.fleet.ownedMsByServer.getOrDefault(server, 0L));
			}
		}

		private void checkInService(String server) {
			assertThat(this.harness.fleet.leavingServers).doesNotContain(server);
			assertThat(this.settings.outOfService).doesNotContain(Integer.parseInt(server.substring(1)));
		}

		private long inFlight(String server) {
			return this.attempts.stream()
				.filter((attempt) -> attempt.open && attempt.dispatch.server().name().value().equals(server))
				.count();
		}

		private void addPossibleRuns(ModelAttempt attempt, long change) {
			ModelRequest request = this.requests.get(attempt.dispatch.id().value());
			String key = request.head.key();
			if (key != null && !request.isIdempotent()) {
				assertThat(this.possibleRunsByKey.merge(key, change, Long::sum)).isBetween(0L, 1L);
			}
		}

		private void checkRefusal(Refuse refuse) {
			ModelRequest request = this.requests.get(refuse.id().value());
			recordAnswered(request);
			if (refuse.refusal().outcome() != Outcome.NOT_RUN) {
				return;
			}
			assertThat(request.possibleRuns()).isZero();
			@Nullable String key = request.head.key();
			if (key != null && !request.isIdempotent()) {
				assertThat(this.possibleRunsByKey.getOrDefault(key, 0L)).isZero();
				assertThat(this.harness.keys.outcomes.get(IdempotencyKey.parse(key))).isEqualTo(Outcome.NOT_RUN);
			}
		}

		private static void recordAnswered(ModelRequest request) {
			assertThat(request.answered || request.callerGone).isFalse();
			request.answered = true;
		}

		void finishAndCheck() {
			this.harness.fleet.noticesSettled = true;
			this.harness.fleet.queriedOutcome = Outcome.UNKNOWN;
			for (int i = 0; i < 40; i++) {
				this.harness.clock.advance(100);
				apply(new Ticked());
			}
			for (ModelAttempt attempt : this.attempts) {
				endAnswer(attempt);
			}
			assertThat(this.harness.logic.running()).isZero();
			assertThat(this.harness.logic.servers()).allMatch((status) -> status.inFlight() == 0);
			assertThat(this.requests.values()).allMatch((request) -> request.answered || request.callerGone);
		}

	}

}
