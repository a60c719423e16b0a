package org.lovagevale.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.lovagevale.standins.process.ChildProcesses;

/**
 * Measures the latency that one entry process adds, by alternating runs of requests sent
 * directly to the backend servers and runs of requests sent through the entry process.
 *
 * <p>
 * The added latency is the difference of the percentiles of two distributions, not a
 * percentile of differences.
 */
final class AddedLatency implements Benchmark {

	private static final int[] REQUESTS_PER_SECOND = { 200, 500, 1_000, 2_000 };

	private static final Map<String, Double> PERCENTILES = new TreeMap<>(
			Map.of("p50", 50.0, "p99", 99.0, "p99_9", 99.9));

	private static final int SERVERS = 6;

	// Enough slots that requests do not queue at the servers.
	private static final int SLOTS_PER_SERVER = 64;

	private static final String PATH = "/balances/1";

	private static final int WARM_UP_REQUESTS_PER_SECOND = 1_000;

	private static final int MAX_WARM_UP_ROUNDS = 30;

	private static final int WARM_UP_SECONDS = 5;

	@Override
	public String name() {
		return "added-latency";
	}

	@Override
	public String description() {
		return "latency added by one entry process, at several rates; target 0.37 ms at p99";
	}

	@Override
	public void run(Environment environment, Report report) throws IOException, InterruptedException {
		BenchDeployment deployment = new BenchDeployment(1, SERVERS, SLOTS_PER_SERVER);
		List<String> backend = List.of("--set", "serviceTime=fixed:0", "--set", "slots=" + SLOTS_PER_SERVER);
		try (ChildProcesses children = environment.start(deployment, backend); LoadClient client = new LoadClient()) {
			warmUp(client, report);
			for (int rate : REQUESTS_PER_SECOND) {
				measure(rate, environment.options(), client, report);
			}
			children.ended().forEach((name) -> report.addProblem(name + " exited during the benchmark"));
		}
	}

	private static void measure(int rate, Options options, LoadClient client, Report report)
			throws InterruptedException {
		List<LoadResult> direct = new ArrayList<>();
		List<LoadResult> through = new ArrayList<>();
		for (int run = 0; run < options.runs(); run++) {
			direct.add(runDirect(client, rate, options.seconds()));
			through.add(runThroughEntry(client, rate, options.seconds()));
			direct.get(run).reportProblems("direct, rate " + rate + ", run " + run, report);
			through.get(run).reportProblems("through, rate " + rate + ", run " + run, report);
		}
		PERCENTILES.forEach((label, percentile) -> {
			List<Double> directMs = direct.stream().map((result) -> result.latencyMs(percentile)).toList();
			List<Double> throughMs = through.stream().map((result) -> result.latencyMs(percentile)).toList();
			List<Double> addedMs = new ArrayList<>();
			for (int i = 0; i < directMs.size(); i++) {
				addedMs.add(throughMs.get(i) - directMs.get(i));
			}
			String suffix = "_" + label + "_rate_" + rate;
			report.add(Figure.of("direct" + suffix, "ms", directMs));
			report.add(Figure.of("through" + suffix, "ms", throughMs));
			report.add(Figure.of("added" + suffix, "ms", addedMs));
		});
	}

	private static LoadResult runDirect(LoadClient client, int rate, int seconds) throws InterruptedException {
		return new OpenLoopGenerator(rate, seconds, Arrivals.evenlySpaced(),
				client.distribute((i) -> BenchDeployment.serverPort(i % SERVERS), PATH))
			.run();
	}

	private static LoadResult runThroughEntry(LoadClient client, int rate, int seconds) throws InterruptedException {
		return new OpenLoopGenerator(rate, seconds, Arrivals.evenlySpaced(),
				client.distribute((i) -> BenchDeployment.callerPort(0), PATH))
			.run();
	}

	// The entry process treats servers as cold until they report warm. Once all requests
	// succeed, both paths run under load until their code is JIT-compiled.
	private static void warmUp(LoadClient client, Report report) throws InterruptedException {
		int rounds = 0;
		LoadResult result = runThroughEntry(client, WARM_UP_REQUESTS_PER_SECOND / 10, 1);
		while (result.failed() + result.incomplete() > 0 && rounds < MAX_WARM_UP_ROUNDS) {
			result = runThroughEntry(client, WARM_UP_REQUESTS_PER_SECOND / 10, 1);
			rounds++;
		}
		if (result.failed() + result.incomplete() > 0) {
			report.addProblem("the entry process did not serve all requests after " + rounds + " s of warm-up");
		}
		runDirect(client, WARM_UP_REQUESTS_PER_SECOND, WARM_UP_SECONDS);
		runThroughEntry(client, WARM_UP_REQUESTS_PER_SECOND, WARM_UP_SECONDS);
		report.printLine("Warm-up took " + (rounds + 1) + " rounds; measuring.");
	}

}
