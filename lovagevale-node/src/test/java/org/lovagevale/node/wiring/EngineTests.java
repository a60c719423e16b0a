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
 * Guards against executing decisions out of order and against an exception of the
 * decision logic that stops the process.
 */
class EngineTests {

	private static final int THREADS = 4;

	private static final int EVENTS_PER_THREAD = 5_000;

	// Several threads apply events for one request, whose decisions carry increasing
	// numbers.
	@Test
	void decisionsOfOneRequestKeepTheirOrder() throws Exception {
		RequestId id = new RequestId(1);
		AtomicInteger made = new AtomicInteger();
		Engine engine = new Engine(logic((event) -> List.of(new CancelAttempt(id, made.incrementAndGet()),
				new CancelAttempt(id, made.incrementAndGet()))), (decision) -> {
				}, (decision) -> {
				});
		Map<Integer, Integer> seen = new ConcurrentHashMap<>();
		ExecutorService loop = Executors.newSingleThreadExecutor();
		engine.register(id, loop, (decision) -> seen.put(((CancelAttempt) decision).attempt(), seen.size() + 1));
		ExecutorService callers = Executors.newFixedThreadPool(THREADS);
		for (int i = 0; i < THREADS; i++) {
			callers.execute(() -> {
				for (int j = 0; j < EVENTS_PER_THREAD; j++) {
					engine.apply(new Ticked());
				}
			});
		}
		callers.shutdown();
		assertThat(callers.awaitTermination(20, TimeUnit.SECONDS)).isTrue();
		loop.shutdown();
		assertThat(loop.awaitTermination(20, TimeUnit.SECONDS)).isTrue();
		assertThat(seen).hasSize(2 * THREADS * EVENTS_PER_THREAD)
			.allSatisfy((attempt, position) -> assertThat(attempt).isEqualTo(position));
	}

	@Test
	void exceptionOfTheLogicAbortsOnlyItsRequest() {
		Engine engine = new Engine(logic((event) -> {
			if (event instanceof CallerGone) {
				throw new IllegalStateException("fault");
			}
			return List.of();
		}), (decision) -> {
		}, (decision) -> {
		});
		List<Decision> carriedOut = new CopyOnWriteArrayList<>();
		engine.register(new RequestId(7), Runnable::run, carriedOut::add);
		engine.apply(new CallerGone(new RequestId(7)));
		engine.apply(new Ticked());
		assertThat(carriedOut).containsExactly(new AbortAnswer(new RequestId(7)));
	}

	private static DecisionLogic logic(Function<Event, List<Decision>> rule) {
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
