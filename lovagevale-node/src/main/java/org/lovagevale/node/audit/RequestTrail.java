package org.lovagevale.node.audit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.core.Refusal;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.decision.AbortAnswer;
import org.lovagevale.core.decision.CancelAttempt;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.Dispatch;
import org.lovagevale.core.decision.PassOn;
import org.lovagevale.core.decision.Refuse;
import org.lovagevale.core.decision.Replay;

/**
 * Records the decisions about the latest requests.
 *
 * <p>
 * Invariant: holds at most its capacity of requests and {@link #MAX_STEPS} steps of each.
 * Thread-safe.
 */
public final class RequestTrail {

	/** Largest number of steps kept per request; later steps are dropped. */
	public static final int MAX_STEPS = 32;

	private final Map<RequestId, List<RecordedStep>> requests;

	private final Clock clock;

	/**
	 * Creates an empty trail.
	 * @param capacity the largest number of requests to hold, positive
	 * @param clock the clock
	 */
	public RequestTrail(int capacity, Clock clock) {
		if (capacity <= 0) {
			throw new IllegalArgumentException("capacity must be positive: " + capacity);
		}
		this.clock = clock;
		this.requests = new LinkedHashMap<>() {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<RequestId, List<RecordedStep>> eldest) {
				return size() > capacity;
			}

		};
	}

	/**
	 * Records a decision if it concerns a request.
	 * @param decision the decision
	 */
	public void record(Decision decision) {
		switch (decision) {
			case Dispatch d -> add(d.id(), dispatch(d));
			case PassOn d -> add(d.id(), step("pass-on", d.attempt(), null));
			case CancelAttempt d -> add(d.id(), step("cancel-attempt", d.attempt(), null));
			case Refuse d -> add(d.id(), step("refuse", 0, d.refusal()));
			case Replay d -> add(d.id(), step("replay", 0, null));
			case AbortAnswer d -> add(d.id(), step("abort-answer", 0, null));
			default -> {
			}
		}
	}

	/**
	 * Returns the decisions about a request.
	 * @param id the request
	 * @return the steps in order, or empty if the request is not recorded
	 */
	public synchronized Optional<List<RecordedStep>> find(RequestId id) {
		return Optional.ofNullable(this.requests.get(id)).map(List::copyOf);
	}

	private synchronized void add(RequestId id, RecordedStep step) {
		List<RecordedStep> steps = this.requests.computeIfAbsent(id, (key) -> new ArrayList<>(2));
		if (steps.size() < MAX_STEPS) {
			steps.add(step);
		}
	}

	private RecordedStep dispatch(Dispatch d) {
		return new RecordedStep(this.clock.epochMillis(), "dispatch", d.attempt(), d.server().service().value(),
				d.server().name().value(), null, null, d.selectionReason());
	}

	private RecordedStep step(String decision, int attempt, @Nullable Refusal refusal) {
		String reason = (refusal != null) ? refusal.reason().toHeader() : null;
		String outcome = (refusal != null) ? refusal.outcome().toHeader() : null;
		return new RecordedStep(this.clock.epochMillis(), decision, attempt, null, null, reason, outcome, null);
	}

}
