package org.lovagevale.node.http;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;

import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.core.DecisionLogic;
import org.lovagevale.core.MemberPhase;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.Refusal;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.SelectionReason;
import org.lovagevale.core.Status;
import org.lovagevale.core.decision.AbortAnswer;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.Dispatch;
import org.lovagevale.core.decision.PassOn;
import org.lovagevale.core.decision.ReadPrefix;
import org.lovagevale.core.decision.Refuse;
import org.lovagevale.core.event.AnswerHeadArrived;
import org.lovagevale.core.event.AttemptFailed;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.HeadArrived;
import org.lovagevale.core.event.PrefixArrived;
import org.lovagevale.core.fleet.WorkPermission;
import org.lovagevale.settings.model.BackendServer;

/**
 * Decision logic that records all events and sends each request to one backend server,
 * unless the rule of the test returns other decisions.
 */
final class ScriptedLogic implements DecisionLogic {

	static final long MAX_REQUEST_BYTES = 1L << 30;

	private final List<Event> events = new CopyOnWriteArrayList<>();

	private final Function<Event, List<Decision>> rule;

	private final int backendPort;

	long maxRequestBytes = MAX_REQUEST_BYTES;

	long idleTimeoutMs = 5_000;

	/**
	 * Creates the decision logic.
	 * @param backendPort the port of the backend server
	 * @param rule returns the decisions for an event, or {@code null} for the default
	 * ones
	 */
	ScriptedLogic(int backendPort, Function<Event, List<Decision>> rule) {
		this.backendPort = backendPort;
		this.rule = rule;
	}

	@Override
	public List<Decision> apply(Event event) {
		this.events.add(event);
		List<Decision> decisions = this.rule.apply(event);
		return (decisions != null) ? decisions : defaultDecisions(event);
	}

	private List<Decision> defaultDecisions(Event event) {
		return switch (event) {
			case HeadArrived head ->
				List.of(new ReadPrefix(head.id(), 4_096, this.maxRequestBytes, this.idleTimeoutMs));
			case PrefixArrived prefix -> List.of(dispatch(prefix.id(), 1));
			case AnswerHeadArrived head -> List.of(new PassOn(head.id(), head.attempt(), 64));
			case AttemptFailed failure -> List.of(defaultDecision(failure));
			default -> List.of();
		};
	}

	private Decision defaultDecision(AttemptFailed failure) {
		return switch (failure.kind()) {
			case LOST_IN_BODY -> new AbortAnswer(failure.id());
			case NOT_CONNECTED -> refuse(failure.id(), Outcome.NOT_RUN);
			default -> refuse(failure.id(), Outcome.UNKNOWN);
		};
	}

	static Refuse refuse(RequestId id, Outcome outcome) {
		return new Refuse(id, new Refusal(RefusalReason.SERVER_FAILED, outcome, 1_500, "Try \"later\"."));
	}

	Dispatch dispatch(RequestId id, int attempt) {
		return dispatch(id, attempt, this.backendPort, 10_000);
	}

	static Dispatch dispatch(RequestId id, int attempt, int port, long timeoutMs) {
		BackendServer server = new BackendServer(new ServerName("transfers-" + port), new ServiceName("transfers"),
				new FailureDomain("west-1"), new Region("west"), "127.0.0.1", port, false, false);
		return new Dispatch(id, attempt, server, System.currentTimeMillis() + timeoutMs, timeoutMs, attempt > 1,
				new SelectionReason("only", 1, 1, 0, Double.NaN));
	}

	<T extends Event> List<T> events(Class<T> type) {
		return this.events.stream().filter(type::isInstance).map(type::cast).toList();
	}

	@Override
	public Status status() {
		return new Status(WorkPermission.OPEN, MemberPhase.LIVE, 1, 0, List.of(), List.of(), List.of(), 0, 0, 0);
	}

}
