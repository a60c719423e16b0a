package org.lovagevale.node.wiring;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import org.junit.jupiter.api.Test;
import org.lovagevale.core.DecisionLogic;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.Status;
import org.lovagevale.core.decision.AbortAnswer;
import org.lovagevale.core.decision.CancelAttempt;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.event.CallerGone;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.Ticked;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against executing the decisions of a request out of order, and against an
 * exception in the decision logic that stops the process instead of aborting only the
 * request of the event.
 */
class EngineTests {

	private static final int THREADS = 4;

	private static final int EVENTS_PER_THREAD = 5_000;

	// Several threads apply events at the same time. The attempt number of each decision
	// is its position in the order in which the decisions were made.
	@Test
	void decisionsOfOneRequestKeepTheirOrder() throws Exception {
		RequestId id = new RequestId(1);
		AtomicInteger decisionCount = new AtomicInteger();
		Engine engine = new Engine(newLogic((event) -> List.of(new CancelAttempt(id, decisionCount.incrementAndGet()),
				new CancelAttempt(id, decisionCount.incrementAndGet()))), (decision) -> {
				}, (decision) -> {
				});
		Map<Integer, Integer> executionPositions = new ConcurrentHashMap<>();
		ExecutorService requestExecutor = Executors.newSingleThreadExecutor();
		engine.register(id, requestExecutor, (decision) -> executionPositions.put(((CancelAttempt) decision).attempt(),
				executionPositions.size() + 1));
		ExecutorService eventSources = Executors.newFixedThreadPool(THREADS);
		for (int i = 0; i < THREADS; i++) {
			eventSources.execute(() -> {
				for (int j = 0; j < EVENTS_PER_THREAD; j++) {
					engine.apply(new Ticked());
				}
			});
		}
		eventSources.shutdown();
		assertThat(eventSources.awaitTermination(20, TimeUnit.SECONDS)).isTrue();
		requestExecutor.shutdown();
		assertThat(requestExecutor.awaitTermination(20, TimeUnit.SECONDS)).isTrue();
		assertThat(executionPositions).hasSize(2 * THREADS * EVENTS_PER_THREAD)
			.allSatisfy((attempt, position) -> assertThat(attempt).isEqualTo(position));
	}

	@Test
	void exceptionInTheLogicAbortsOnlyTheRequestOfTheEvent() {
		Engine engine = new Engine(newLogic((event) -> {
			if (event instanceof CallerGone) {
				throw new IllegalStateException("fault");
			}
			return List.of();
		}), (decision) -> {
		}, (decision) -> {
		});
		List<Decision> executed = new CopyOnWriteArrayList<>();
		engine.register(new RequestId(7), Runnable::run, executed::add);
		engine.apply(new CallerGone(new RequestId(7)));
		engine.apply(new Ticked());
		assertThat(executed).containsExactly(new AbortAnswer(new RequestId(7)));
	}

	private static DecisionLogic newLogic(Function<Event, List<Decision>> rule) {
		return new DecisionLogic() {

			@Override
			public List<Decision> apply(Event event) {
				return rule.apply(event);
			}

			@Override
			public Status status() {
				throw new UnsupportedOperationException();
			}

		};
	}

}
