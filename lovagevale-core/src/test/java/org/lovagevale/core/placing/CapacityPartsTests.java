package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against parts that exceed the capacity, and against urgent kinds that get less
 * than others.
 */
class CapacityPartsTests {

	private static CapacityParts.Part part(int priority, double demand, double entitlement) {
		return new CapacityParts.Part(priority, demand, entitlement);
	}

	@Test
	void burstOfALessUrgentKindGetsOnlyWhatIsLeft() {
		CapacityParts.Part urgent = part(0, 30, 30);
		CapacityParts.Part burst = part(2, 100, 40);
		CapacityParts.divide(List.of(urgent, burst), 80);
		assertThat(urgent.granted()).isCloseTo(30, within(0.01));
		assertThat(burst.granted()).isCloseTo(50, within(0.01));
	}

	@Test
	void burstOfAnUrgentKindTakesFromOthersUntilBothAreServedEqually() {
		CapacityParts.Part burst = part(0, 100, 40);
		CapacityParts.Part other = part(2, 20, 20);
		CapacityParts.divide(List.of(burst, other), 60);
		assertThat(burst.share()).isCloseTo(0.5, within(0.01));
		assertThat(other.share()).isCloseTo(0.5, within(0.01));
	}

	@Test
	void kindsOfTheSamePriorityKeepTheirUsualParts() {
		CapacityParts.Part burst = part(1, 100, 40);
		CapacityParts.Part other = part(1, 20, 20);
		CapacityParts.divide(List.of(burst, other), 60);
		assertThat(other.share()).isCloseTo(1, within(0.01));
		assertThat(burst.share()).isCloseTo(0.4, within(0.01));
	}

	@Test
	void leastUrgentKindGetsAPartOfItsEntitlement() {
		CapacityParts.Part urgent = part(0, 100, 100);
		CapacityParts.Part other = part(2, 100, 100);
		CapacityParts.divide(List.of(urgent, other), 100);
		assertThat(other.share()).isCloseTo(CapacityParts.MIN_ENTITLEMENT_SHARE, within(0.01));
	}

	@Property(seed = "20261207", tries = 500)
	void partsStayWithinCapacityAndInOrder(
			@ForAll @Size(min = 1, max = 6) List<@DoubleRange(min = 0.1, max = 100) Double> demands,
			@ForAll @Size(6) List<@DoubleRange(min = 0, max = 1) Double> entitled,
			@ForAll @Size(6) List<@IntRange(max = 3) Integer> priorities,
			@ForAll @DoubleRange(min = 1, max = 300) double capacity) {
		List<CapacityParts.Part> parts = new ArrayList<>();
		for (int i = 0; i < demands.size(); i++) {
			parts.add(part(priorities.get(i), demands.get(i), demands.get(i) * entitled.get(i)));
		}
		CapacityParts.divide(parts, capacity);
		double sum = parts.stream().mapToDouble(CapacityParts.Part::granted).sum();
		assertThat(sum).isLessThanOrEqualTo(capacity + 0.01);
		for (int i = 0; i < parts.size(); i++) {
			assertThat(parts.get(i).share()).isBetween(0.0, 1.0001);
			for (int j = 0; j < parts.size(); j++) {
				if (priorities.get(i) < priorities.get(j)) {
					assertThat(parts.get(i).share()).isGreaterThan(parts.get(j).share() - 0.001);
				}
			}
		}
	}

}
