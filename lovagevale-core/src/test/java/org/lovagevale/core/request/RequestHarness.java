package org.lovagevale.core.request;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.VmName;
import org.lovagevale.core.FailureKind;
import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.Refusal;
import org.lovagevale.core.RequestHead;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.ServerState;
import org.lovagevale.core.StoredAnswer;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.Dispatch;
import org.lovagevale.core.decision.Refuse;
import org.lovagevale.core.event.AnswerEnded;
import org.lovagevale.core.event.AnswerHeadArrived;
import org.lovagevale.core.event.AttemptFailed;
import org.lovagevale.core.event.CallerGone;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.HeadArrived;
import org.lovagevale.core.event.PrefixArrived;
import org.lovagevale.core.event.Ticked;
import org.lovagevale.core.message.ServerEntry;

/**
 * Passes events to a {@link RequestLogic}. Records, as lines of text, the events, the
 * decisions that they cause and the calls to the fleet and the key store.
 */
final class RequestHarness {

	static final ProcessIdentity SELF = new ProcessIdentity(new VmName("entry-01"), new Incarnation(1_000, 7));

	static final String KEY_PREFIX = "entry-01." + SELF.incarnation() + ".0.";

	static final LoadReport WARM_REPORT = new LoadReport(1, 3, ServerState.WARM, "b1");

	static final LoadReport COLD_REPORT = new LoadReport(1, 3, ServerState.COLD, "b1");

	/** Whether events and decisions are recorded. Disabled to measure time. */
	boolean recording = true;

	final ManualClock clock = new ManualClock(100_000, 1_000_000_000);

	final List<String> lines = new ArrayList<>();

	final FakeFleet fleet = new FakeFleet((line) -> this.lines.add("  . " + line));

	final FakeKeyStore keys = new FakeKeyStore(SELF, (line) -> this.lines.add("  . " + line));

	private final List<Decision> decisions = new ArrayList<>();

	final RequestLogic logic = new RequestLogic(SELF, this.clock, new SeededRandom(20261204), this.fleet, this.keys,
			this::record);

	private void record(Decision decision) {
		this.decisions.add(decision);
		if (this.recording) {
			this.lines.add("  > " + LineFormatter.format(decision));
		}
	}

	/**
	 * Creates a harness in which the state of all servers is unknown, so that they are
	 * treated as cold.
	 * @param settings the settings
	 * @return the harness
	 */
	static RequestHarness withUnknownServers(SingleServiceSettings settings) {
		RequestHarness harness = new RequestHarness();
		harness.applySettings(settings);
		return harness;
	}

	/**
	 * Creates a harness in which a peer has reported all servers as warm.
	 * @param settings the settings
	 * @return the harness
	 */
	static RequestHarness withWarmServers(SingleServiceSettings settings) {
		RequestHarness harness = new RequestHarness();
		for (int i = 0; i < settings.servers; i++) {
			harness.fleet.peerReports.put(SingleServiceSettings.serverName(i),
					new ServerEntry(SingleServiceSettings.serverName(i), "WARM", "b1", 0));
		}
		harness.applySettings(settings);
		harness.fleet.peerReports.clear();
		harness.clock.advance(1);
		return harness;
	}

	void applySettings(SingleServiceSettings settings) {
		this.fleet.settings = settings.build();
		apply(new Ticked());
	}

	List<Decision> apply(Event event) {
		this.decisions.clear();
		if (this.recording) {
			this.lines.add(this.clock.millis() + " " + LineFormatter.format(event));
		}
		this.logic.apply(event);
		return List.copyOf(this.decisions);
	}

	List<Decision> tickAfter(long ms) {
		this.clock.advance(ms);
		return apply(new Ticked());
	}

	static RequestHead requestHead(String method, String path, @Nullable AccountName account, @Nullable String key) {
		return new RequestHead(method, path, "", account, key, 0, false, 0, "127.0.0.1");
	}

	List<Decision> request(long id, String method, String path) {
		return request(id, requestHead(method, path, null, null));
	}

	List<Decision> requestWithKey(long id, String unique) {
		return request(id, requestHead("POST", "/vans", null, KEY_PREFIX + unique));
	}

	List<Decision> request(long id, RequestHead head) {
		return request(id, head, "f" + id);
	}

	// Reports the head of a request and then the prefix of its body.
	List<Decision> request(long id, RequestHead head, String fingerprint) {
		List<Decision> received = new ArrayList<>(apply(new HeadArrived(new RequestId(id), head)));
		received.addAll(apply(new PrefixArrived(new RequestId(id), new Fingerprint(fingerprint))));
		return received;
	}

	List<Decision> answerHead(long id, int attempt, int status, @Nullable LoadReport report) {
		return apply(new AnswerHeadArrived(new RequestId(id), attempt, status, false, report));
	}

	/**
	 * Reports that the server rejected an attempt with status 503 without running it.
	 * @param id the request
	 * @param attempt the number of the attempt, counted from 1
	 * @return the resulting decisions
	 */
	List<Decision> rejectAttempt(long id, int attempt) {
		return apply(new AnswerHeadArrived(new RequestId(id), attempt, 503, true, WARM_REPORT));
	}

	List<Decision> endAnswer(long id, int attempt, @Nullable StoredAnswer stored) {
		return apply(new AnswerEnded(new RequestId(id), attempt, stored));
	}

	List<Decision> failAttempt(long id, int attempt, FailureKind kind) {
		return apply(new AttemptFailed(new RequestId(id), attempt, kind));
	}

	List<Decision> disconnectCaller(long id) {
		return apply(new CallerGone(new RequestId(id)));
	}

	ServerState serverState(int index) {
		return this.logic.servers().get(index).state();
	}

	static List<String> dispatchedServers(List<Decision> decisions) {
		return decisions.stream()
			.filter(Dispatch.class::isInstance)
			.map((decision) -> ((Dispatch) decision).server().name().value())
			.toList();
	}

	static Dispatch firstDispatch(List<Decision> decisions) {
		return (Dispatch) decisions.stream().filter(Dispatch.class::isInstance).findFirst().orElseThrow();
	}

	static Refusal firstRefusal(List<Decision> decisions) {
		return ((Refuse) decisions.stream().filter(Refuse.class::isInstance).findFirst().orElseThrow()).refusal();
	}

}
