package org.lovagevale.bench;

import java.io.IOException;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against wrong slopes, metric sums and processor times, on which the capacity
 * estimates for larger fleets are based.
 */
class MeasurementHelpersTests {

	@Test
	void fitHasSlopeInterceptAndWorstResidual() {
		LinearFit fit = LinearFit.of(new double[] { 0, 1, 2, 3 }, new double[] { 1, 3, 5, 8 });
		assertThat(fit.slope()).isCloseTo(2.3, within(1e-9));
		assertThat(fit.intercept()).isCloseTo(0.8, within(1e-9));
		assertThat(fit.worstResidual()).isCloseTo(0.4, within(1e-9));
	}

	@Test
	void sumAddsAllLabelSetsOfAMetricAndRejectsAMissingMetric() {
		MetricsText text = new MetricsText("# TYPE a counter\na{x=\"1 }\"} 2.0\na{x=\"2\"} 3\na_b 7\nplain 4.5\n");
		assertThat(text.sum("a")).isEqualTo(5);
		assertThat(text.sum("plain")).isEqualTo(4.5);
		assertThatThrownBy(() -> text.sum("b")).hasMessageContaining("no metric named b");
	}

	@Test
	void idleProcessUsesLittleProcessorTimeAndMemory() throws IOException, InterruptedException {
		Process idle = new ProcessBuilder("sleep", "5").start();
		Thread.sleep(200);
		ProcessUsage usage = ProcessUsage.of(idle);
		idle.destroy();
		assertThat(usage.cpuSeconds()).isLessThan(0.2);
		assertThat(usage.residentMb()).isBetween(0.1, 50.0);
	}

}
