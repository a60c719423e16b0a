package org.lovagevale.bench;

import java.io.IOException;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.lovagevale.bench.FigureMedians.Basis;
import org.lovagevale.bench.FigureMedians.Estimate;
import org.lovagevale.peer.PeerException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against capacity tables that present extrapolated values as measured ones, and
 * against a simulated fleet whose entry processes never accept work, so that digests and
 * settings changes would seem to cost nothing.
 */
class CapacityTests {

	@Test
	void valuesOutsideOfTheMeasuredPointsAreMarkedAsExtrapolated() throws IOException {
		FigureMedians medians = FigureMedians.of(List.of("{\"name\":\"tick_servers_100\",\"median\":1}",
				"{\"name\":\"tick_servers_200\",\"median\":3}", "{\"name\":\"slope_tick_per_servers\",\"median\":9}"));
		assertThat(medians.estimateAt("tick_servers", 100)).isEqualTo(new Estimate(1, Basis.MEASURED));
		assertThat(medians.estimateAt("tick_servers", 150)).isEqualTo(new Estimate(2, Basis.INTERPOLATED));
		Estimate extrapolated = medians.estimateAt("tick_servers", 300);
		assertThat(extrapolated.value()).isCloseTo(5, within(1e-9));
		assertThat(extrapolated.basis()).isEqualTo(Basis.EXTRAPOLATED);
		assertThat(new Estimate(1, Basis.MEASURED).plus(extrapolated, 2).basis()).isEqualTo(Basis.EXTRAPOLATED);
	}

	@Test
	void missingSeriesIsNamedAndUnmeasuredValueHasUnknownVerdict() throws IOException {
		FigureMedians none = FigureMedians.of(List.of());
		assertThatThrownBy(() -> none.estimateAt("tick_servers", 1)).hasMessageContaining("no series tick_servers");
		assertThat(Capacity.Row.notMeasured("memory", "MB", 256).verdict()).isEqualTo("unknown");
	}

	@Test
	void simulatedFleetAcceptsWorkAndAdoptsNewSettingsInAllProcesses() throws PeerException {
		SimulatedExchange exchange = new SimulatedExchange(new ControlTree(9, 20), 10);
		exchange.run(3_000);
		assertThat(exchange.isOpen()).isTrue();
		ExchangeTotals before = exchange.totals();
		exchange.run(1_000);
		assertThat(exchange.totals().minus(before).digestBytes()).isPositive();
		assertThat(exchange.publish(10_000)).isLessThan(5_000);
	}

}
