package org.lovagevale.core.pipelining;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against waiting responses that are read beyond their limit, and against a limit
 * that stays reached after they were sent.
 */
class WaitingBytesTests {

	private static final int STEPS = 200;

	private static final int MAX_PART_BYTES = 16_384;

	@Property(seed = "20261207", tries = 200)
	void readingStopsAtTheLimitAndGoesOnBelowIt(@ForAll long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		WaitingBytes waiting = new WaitingBytes();
		List<Integer> parts = new ArrayList<>();
		for (int i = 0; i < STEPS; i++) {
			if (!waiting.isFull() && random.nextInt(4) > 0) {
				parts.add(random.nextInt(MAX_PART_BYTES));
				waiting.add(parts.getLast());
			}
			else if (!parts.isEmpty()) {
				waiting.remove(parts.remove(random.nextInt(parts.size())));
			}
			long sum = parts.stream().mapToLong(Integer::intValue).sum();
			assertThat(waiting.bytes()).isEqualTo(sum).isLessThan(WaitingBytes.MAX_BYTES + MAX_PART_BYTES);
			assertThat(waiting.isFull()).isEqualTo(sum >= WaitingBytes.MAX_BYTES);
		}
	}

	@Example
	void moreThanWaitsCannotBeRemoved() {
		WaitingBytes waiting = new WaitingBytes();
		waiting.add(10);
		assertThatIllegalArgumentException().isThrownBy(() -> waiting.remove(11));
		assertThatIllegalArgumentException().isThrownBy(() -> waiting.add(-1));
	}

}
