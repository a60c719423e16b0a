package org.lovagevale.bench;

import java.io.IOException;

/**
 * What control costs one entry process, with the real logic and codec in this process and
 * a manual clock: digests, settings, ticks, requests and heap, for growing fleets.
 *
 * <p>
 * Sockets, threads and garbage collection are not part of the figures.
 */
final class Control implements Benchmark {

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
		ControlFigures figures = new ControlFigures();
		new EntryCost(environment.options(), report, figures).measure();
		report.say("Measuring the exchange of digests.");
		new ExchangeCost(environment.options(), report, figures).measure();
		figures.addTo(report);
	}

}
