package org.lovagevale.core.placing;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Guards against requests that are begun although the process ends before they do.
 */
class PlannedStopTests {

	private static final long STOP_MS = 5_000;

	private final PlannedStop stop = new PlannedStop();

	@Test
	void allowsEverythingUntilItBegins() {
		assertThat(this.stop.isInProgress()).isFalse();
		assertThat(this.stop.allows(100, Long.MAX_VALUE, 1_000_000)).isTrue();
		assertThatIllegalStateException().isThrownBy(() -> this.stop.timeLeftMs(100));
	}

	@Test
	void allowsARequestThatUsuallyEndsInTime() {
		this.stop.begin(0, STOP_MS);
		assertThat(this.stop.allows(1_000, 20_000, 1_300)).isTrue();
		assertThat(this.stop.allows(1_000, 20_000, 1_400)).isFalse();
	}

	@Test
	void reliesOnTheTimeoutAloneInTheSecondHalf() {
		this.stop.begin(0, STOP_MS);
		assertThat(this.stop.allows(2_499, 20_000, 10)).isTrue();
		assertThat(this.stop.allows(2_500, 20_000, 10)).isFalse();
		assertThat(this.stop.allows(2_500, 5_000, 10)).isTrue();
		assertThat(this.stop.allows(2_500, 5_001, 10)).isFalse();
	}

	@Test
	void secondBeginDoesNotMoveTheEnd() {
		this.stop.begin(0, STOP_MS);
		this.stop.begin(3_000, STOP_MS);
		assertThat(this.stop.timeLeftMs(3_000)).isEqualTo(2_000);
		assertThat(this.stop.timeLeftMs(9_000)).isZero();
	}

	@Test
	void rejectsANegativeStopTime() {
		assertThatIllegalArgumentException().isThrownBy(() -> this.stop.begin(0, -1));
	}

	@Property(seed = "20261205", tries = 1_000)
	void whatIsRefusedOnceIsRefusedLater(@ForAll @IntRange(max = 6_000) int now,
			@ForAll @IntRange(max = 6_000) int later, @ForAll @IntRange(max = 20_000) int timeoutAt,
			@ForAll @IntRange(max = 5_000) int workMs) {
		PlannedStop begun = new PlannedStop();
		begun.begin(0, STOP_MS);
		if (!begun.allows(now, timeoutAt, workMs)) {
			assertThat(begun.allows(now + later, timeoutAt, workMs)).isFalse();
		}
	}

}
