package org.lovagevale.bench;

import java.io.IOException;

/**
 * Measures the control plane cost of one entry process as the fleet grows: digests,
 * settings, ticks, requests and heap.
 *
 * <p>
 * The production logic and codec run in this process with a manual clock. The figures do
 * not include sockets, threads or garbage collection.
 */
final class ControlPlaneCost implements Benchmark {

	@Override
	public String name() {
		return "control";
	}

	@Override
	public String description() {
		return "cost of digests, settings, ticks, requests and heap in one process; input of bin/bench capacity";
	}

	@Override
	public void run(Environment environment, Report report) throws IOException, InterruptedException {
		FigureSeries figures = new FigureSeries();
		new EntryCost(environment.options(), report, figures).measure();
		report.printLine("Measuring the exchange of digests in simulated fleets.");
		new ExchangeCost(environment.options(), report, figures).measure();
		figures.addTo(report);
	}

}
