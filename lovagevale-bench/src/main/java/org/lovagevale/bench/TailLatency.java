package org.lovagevale.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;

import org.HdrHistogram.Histogram;
import org.lovagevale.standins.process.ChildProcesses;
import reactor.core.publisher.Mono;

/**
 * Compares the tail latency through entry processes with that of simple load balancing
 * algorithms, in alternating runs, and with that of a simulated single queue, which has
 * perfect information.
 *
 * <p>
 * Each simple algorithm runs in as many independent clients as there are entry processes.
 * The clients send directly to the servers and thus save the hop through an entry
 * process.
 */
final class TailLatency implements Benchmark {

	private static final int ENTRIES = 5;

	private static final int SERVERS = 12;

	private static final int SLOTS_PER_SERVER = 3;

	private static final double MEAN_SERVICE_MS = 20;

	private static final int[] LOAD_PERCENTS = { 50, 70, 85 };

	private static final double[] PERCENTILES = { 50, 99, 99.9 };

	private static final String LOVAGEVALE = "lovagevale";

	private static final String PATH = "/balances/1";

	private static final int WARM_UP_SECONDS = 5;

	private static final int MAX_WARM_UP_ROUNDS = 40;

	private static final double PERCENT = 100;

	@Override
	public String name() {
		return "tail";
	}

	@Override
	public String description() {
		return "tail latency against simple algorithms and a single queue; target 1.3 times the single queue at p99";
	}

	@Override
	public void run(Environment environment, Report report) throws IOException, InterruptedException {
		BenchDeployment deployment = new BenchDeployment(ENTRIES, SERVERS, SLOTS_PER_SERVER);
		List<String> backend = List.of("--set", "serviceTime=exp:" + MEAN_SERVICE_MS, "--set",
				"slots=" + SLOTS_PER_SERVER);
		try (ChildProcesses children = environment.start(deployment, backend); LoadClient client = new LoadClient()) {
			warmUp(client, report);
			for (int load : LOAD_PERCENTS) {
				measure(load, environment.options(), client, report);
			}
			children.ended().forEach((name) -> report.addProblem(name + " exited during the benchmark"));
		}
	}

	private static int requestsPerSecond(int loadPercent) {
		double capacity = SERVERS * SLOTS_PER_SERVER * 1_000 / MEAN_SERVICE_MS;
		return (int) Math.round(capacity * loadPercent / PERCENT);
	}

	private static void measure(int loadPercent, Options options, LoadClient client, Report report)
			throws InterruptedException {
		Map<String, List<LoadResult>> results = new LinkedHashMap<>();
		for (int run = 0; run < options.runs(); run++) {
			for (Map.Entry<String, IntFunction<Mono<Boolean>>> sender : senders(client, run).entrySet()) {
				Arrivals arrivals = Arrivals.poisson(run);
				LoadResult result = new OpenLoopGenerator(requestsPerSecond(loadPercent), options.seconds(), arrivals,
						sender.getValue())
					.run();
				result.reportGeneratorProblems(sender.getKey() + ", load " + loadPercent + " %, run " + run, report);
				results.computeIfAbsent(sender.getKey(), (name) -> new ArrayList<>()).add(result);
			}
		}
		Histogram singleQueue = SingleQueue.simulate(requestsPerSecond(loadPercent), SERVERS * SLOTS_PER_SERVER,
				MEAN_SERVICE_MS, 1);
		results.forEach((name, list) -> addFigures(name, loadPercent, list, singleQueue, report));
	}

	private static void addFigures(String name, int loadPercent, List<LoadResult> results, Histogram singleQueue,
			Report report) {
		for (double percentile : PERCENTILES) {
			String suffix = "_p" + String.valueOf(percentile).replace(".0", "").replace('.', '_') + "_load_"
					+ loadPercent;
			List<Double> values = results.stream().map((result) -> result.latencyMs(percentile)).toList();
			report.add(Figure.of(name + suffix, "ms", values));
			double singleQueueMs = singleQueue.getValueAtPercentile(percentile) / LoadResult.NANOS_PER_MILLI;
			report.add(Figure.of(name + "_ratio" + suffix, "times the single queue",
					values.stream().map((value) -> value / singleQueueMs).toList()));
		}
		List<Double> failedPercents = results.stream()
			.map((result) -> PERCENT * result.failed() / result.sent())
			.toList();
		report.add(Figure.of(name + "_failed_load_" + loadPercent, "%", failedPercents));
	}

	private static Map<String, IntFunction<Mono<Boolean>>> senders(LoadClient client, int seed) {
		Map<String, IntFunction<Mono<Boolean>>> result = new LinkedHashMap<>();
		result.put(LOVAGEVALE, client.distribute((i) -> BenchDeployment.callerPort(i % ENTRIES), PATH));
		result.put("random", directSender(client, (i) -> BalancingAlgorithm.random(seed * ENTRIES + i)));
		result.put("round_robin", directSender(client, (i) -> BalancingAlgorithm.roundRobin(i * SERVERS / ENTRIES)));
		result.put("least_in_flight",
				directSender(client, (i) -> BalancingAlgorithm.leastInFlight(seed * ENTRIES + i)));
		result.put("two_choices", directSender(client, (i) -> BalancingAlgorithm.twoChoices(seed * ENTRIES + i)));
		return result;
	}

	private static IntFunction<Mono<Boolean>> directSender(LoadClient client,
			IntFunction<BalancingAlgorithm> algorithm) {
		List<DirectClient> clients = new ArrayList<>();
		for (int i = 0; i < ENTRIES; i++) {
			clients.add(new DirectClient(client, algorithm.apply(i), SERVERS));
		}
		return (i) -> clients.get(i % ENTRIES).send(PATH);
	}

	private static void warmUp(LoadClient client, Report report) throws InterruptedException {
		IntFunction<Mono<Boolean>> throughEntries = client.distribute((i) -> BenchDeployment.callerPort(i % ENTRIES),
				PATH);
		int rounds = 0;
		LoadResult result = new OpenLoopGenerator(100, 1, Arrivals.evenlySpaced(), throughEntries).run();
		while (result.failed() > 0 && rounds < MAX_WARM_UP_ROUNDS) {
			result = new OpenLoopGenerator(100, 1, Arrivals.evenlySpaced(), throughEntries).run();
			rounds++;
		}
		if (result.failed() > 0) {
			report.addProblem("the entry processes did not serve all requests after " + rounds + " s of warm-up");
		}
		new OpenLoopGenerator(requestsPerSecond(LOAD_PERCENTS[0]), WARM_UP_SECONDS, Arrivals.evenlySpaced(),
				throughEntries)
			.run();
		report.printLine("Warm-up took " + (rounds + 1) + " rounds; measuring.");
	}

}
