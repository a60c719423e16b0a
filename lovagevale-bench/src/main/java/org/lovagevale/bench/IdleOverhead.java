package org.lovagevale.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.lovagevale.standins.process.ChildProcesses;

/**
 * Measures the background cost of entry processes that serve no requests: peer exchange,
 * probes and settings reads, for growing numbers of entry processes and of servers.
 *
 * <p>
 * Responses carry load reports that make probes unnecessary, so the number of probes is
 * greatest without requests.
 */
final class IdleOverhead implements Benchmark {

	private static final int[] ENTRY_COUNTS = { 2, 5, 10, 20 };

	private static final int[] SERVER_COUNTS = { 12, 36, 72, 144 };

	private static final int FIXED_SERVERS = 12;

	private static final int FIXED_ENTRIES = 5;

	private static final int SLOTS_PER_SERVER = 3;

	// JIT compilation and the first exchange of server states are over after this time.
	private static final Duration SETTLE_TIME = Duration.ofSeconds(15);

	private static final double PERCENT = 100;

	private static final double NANOS_PER_SECOND = 1e9;

	@Override
	public String name() {
		return "measuring";
	}

	@Override
	public String description() {
		return "cost of peer exchange, probes and settings reads; target 2.6 % of a core, 256 MB and 29 KB/s per node";
	}

	@Override
	public void run(Environment environment, Report report) throws IOException, InterruptedException {
		Map<Quantity, List<Double>> byEntries = new EnumMap<>(Quantity.class);
		for (int entries : ENTRY_COUNTS) {
			measure(environment, new BenchDeployment(entries, FIXED_SERVERS, SLOTS_PER_SERVER), report, byEntries);
		}
		addFits("entry", ENTRY_COUNTS, byEntries, report);
		Map<Quantity, List<Double>> byServers = new EnumMap<>(Quantity.class);
		for (int servers : SERVER_COUNTS) {
			measure(environment, new BenchDeployment(FIXED_ENTRIES, servers, SLOTS_PER_SERVER), report, byServers);
		}
		addFits("server", SERVER_COUNTS, byServers, report);
	}

	private static void measure(Environment environment, BenchDeployment deployment, Report report,
			Map<Quantity, List<Double>> medians) throws IOException, InterruptedException {
		report.printLine(
				"Measuring " + deployment.entries() + " entry processes and " + deployment.servers() + " servers.");
		Map<Quantity, List<Double>> values = new EnumMap<>(Quantity.class);
		try (ChildProcesses children = environment.start(deployment, List.of())) {
			Thread.sleep(SETTLE_TIME);
			for (int run = 0; run < environment.options().runs(); run++) {
				Totals before = readTotals(environment, deployment, children);
				Thread.sleep(Duration.ofSeconds(environment.options().seconds()));
				Totals after = readTotals(environment, deployment, children);
				addValues(deployment, before, after, values);
			}
			children.ended().forEach((name) -> report.addProblem(name + " exited during the benchmark"));
		}
		values.forEach((quantity, list) -> {
			String name = quantity.label + "_entries_" + deployment.entries() + "_servers_" + deployment.servers();
			Figure figure = Figure.of(name, quantity.unit, list);
			report.add(figure);
			medians.computeIfAbsent(quantity, (key) -> new ArrayList<>()).add(figure.median());
		});
	}

	private static void addValues(BenchDeployment deployment, Totals before, Totals after,
			Map<Quantity, List<Double>> values) {
		double seconds = (after.atNanos() - before.atNanos()) / NANOS_PER_SECOND;
		double entrySeconds = seconds * deployment.entries();
		add(values, Quantity.CPU, PERCENT * (after.cpuSeconds() - before.cpuSeconds()) / entrySeconds);
		add(values, Quantity.MEMORY, after.residentMb() / deployment.entries());
		add(values, Quantity.MESSAGES, (after.messages() - before.messages()) / entrySeconds);
		add(values, Quantity.BYTES, (after.bytes() - before.bytes()) / entrySeconds);
		add(values, Quantity.PROBES, (after.probes() - before.probes()) / seconds);
		add(values, Quantity.READS, (after.settingsReads() - before.settingsReads()) / seconds);
	}

	private static void add(Map<Quantity, List<Double>> values, Quantity quantity, double value) {
		values.computeIfAbsent(quantity, (key) -> new ArrayList<>()).add(value);
	}

	private static Totals readTotals(Environment environment, BenchDeployment deployment, ChildProcesses children)
			throws IOException, InterruptedException {
		double cpuSeconds = 0;
		double residentMb = 0;
		double messages = 0;
		double bytes = 0;
		long atNanos = System.nanoTime();
		for (int i = 0; i < deployment.entries(); i++) {
			ProcessUsage usage = ProcessUsage.of(children.get(BenchDeployment.vmName(i)));
			cpuSeconds += usage.cpuSeconds();
			residentMb += usage.residentMb();
			MetricsText metrics = new MetricsText(environment.http().get(BenchDeployment.adminUrl(i) + "/metrics"));
			messages += metrics.sum("lovagevale_peer_messages_sent_total");
			bytes += metrics.sum("lovagevale_peer_bytes_sent_total");
		}
		return new Totals(atNanos, cpuSeconds, residentMb, messages, bytes, probeCount(environment),
				settingsReadCount(environment));
	}

	private static double probeCount(Environment environment) throws IOException, InterruptedException {
		double sum = 0;
		for (JsonNode server : environment.http()
			.getJson(BenchDeployment.backendControlUrl() + "/control/stats")
			.path("servers")) {
			sum += server.path("counters").path("health_reads").asDouble();
		}
		return sum;
	}

	private static double settingsReadCount(Environment environment) throws IOException, InterruptedException {
		JsonNode stats = environment.http().getJson(BenchDeployment.platformUrl() + "/control/stats");
		return stats.path("counters").path("settings_reads").asDouble();
	}

	private static void addFits(String variable, int[] counts, Map<Quantity, List<Double>> medians, Report report) {
		double[] x = new double[counts.length];
		for (int i = 0; i < counts.length; i++) {
			x[i] = counts[i];
		}
		medians.forEach((quantity, list) -> {
			LinearFit fit = LinearFit.of(x, list.stream().mapToDouble(Double::doubleValue).toArray());
			String name = String.format(Locale.ROOT, "%s_per_%s", quantity.label, variable);
			report.add(Figure.of("slope_" + name, quantity.unit, List.of(fit.slope())));
			report.add(Figure.of("intercept_" + name, quantity.unit, List.of(fit.intercept())));
			report.add(Figure.of("worst_residual_" + name, quantity.unit, List.of(fit.worstResidual())));
		});
	}

	/**
	 * A measured quantity.
	 */
	private enum Quantity {

		/** Processor time per entry process. */
		CPU("cpu", "% of a core per node"),

		/** Resident memory per entry process. */
		MEMORY("memory", "MB per node"),

		/** Messages sent to peers per entry process. */
		MESSAGES("messages", "1/s per node"),

		/** Bytes sent to peers per entry process. */
		BYTES("bytes", "B/s per node"),

		/** Probes sent by all entry processes to all servers. */
		PROBES("probes", "1/s in all"),

		/** Settings reads by all entry processes. */
		READS("settings_reads", "1/s in all");

		private final String label;

		private final String unit;

		Quantity(String label, String unit) {
			this.label = label;
			this.unit = unit;
		}

	}

	/**
	 * Counters since the start of the processes, and their memory at the time of the
	 * reading.
	 *
	 * @param atNanos time of the reading, as of {@link System#nanoTime()}
	 * @param cpuSeconds processor time of all entry processes in seconds
	 * @param residentMb resident memory of all entry processes in megabytes
	 * @param messages messages sent to peers by all entry processes
	 * @param bytes bytes sent to peers by all entry processes
	 * @param probes probes received by all servers
	 * @param settingsReads settings reads received by the platform
	 */
	private record Totals(long atNanos, double cpuSeconds, double residentMb, double messages, double bytes,
			double probes, double settingsReads) {
	}

}
