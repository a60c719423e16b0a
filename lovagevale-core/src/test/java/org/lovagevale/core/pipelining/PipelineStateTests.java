package org.lovagevale.core.pipelining;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against requests that start beside others which they must not overtake, and
 * against requests that never start.
 */
class PipelineStateTests {

	@Property(seed = "20261207", tries = 100)
	void firstRequestAlwaysStarts(@ForAll boolean concurrent, @ForAll boolean ending,
			@ForAll @DoubleRange(min = 0, max = 2) double memoryShare) {
		assertThat(new PipelineState(0, concurrent, ending, memoryShare).mayStartNext()).isTrue();
	}

	@Property(seed = "20261207", tries = 200)
	void laterRequestStartsOnlyIfNothingSpeaksAgainstIt(@ForAll @IntRange(min = 1, max = 10) int unanswered,
			@ForAll boolean concurrent, @ForAll boolean ending,
			@ForAll @DoubleRange(min = 0, max = 2) double memoryShare) {
		boolean expected = unanswered <= 3 && concurrent && !ending && memoryShare < 0.5;
		assertThat(new PipelineState(unanswered, concurrent, ending, memoryShare).mayStartNext()).isEqualTo(expected);
	}

	@Example
	void negativeNumberOfRequestsIsRejected() {
		assertThatIllegalArgumentException().isThrownBy(() -> new PipelineState(-1, true, false, 0));
	}

}
