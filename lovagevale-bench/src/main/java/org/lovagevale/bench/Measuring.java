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
 * What the exchange between entry processes, probes and reads of settings cost without
 * any request, for growing numbers of entry processes and of servers.
 *
 * <p>
 * Without requests no load reports arrive with responses, so that the number of probes is
 * the greatest.
 */
final class Measuring implements Benchmark {

	private static final int[] ENTRIES = { 2, 5, 10, 20 };

	private static final int[] SERVERS = { 12, 36, 72, 144 };

	private static final int FEW_SERVERS = 12;

	private static final int FEW_ENTRIES = 5;

	private static final int SLOTS = 3;

	// Compilation and the first exchange of states are over after this time.
	private static final Duration SETTLE = Duration.ofSeconds(15);

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
		for (int entries : ENTRIES) {
			measure(environment, new Layout(entries, FEW_SERVERS, SLOTS), report, byEntries);
		}
		addSlopes("entry", ENTRIES, byEntries, report);
		Map<Quantity, List<Double>> byServers = new EnumMap<>(Quantity.class);
		for (int servers : SERVERS) {
			measure(environment, new Layout(FEW_ENTRIES, servers, SLOTS), report, byServers);
		}
		addSlopes("server", SERVERS, byServers, report);
	}

	private static void measure(Environment environment, Layout layout, Report report,
			Map<Quantity, List<Double>> medians) throws IOException, InterruptedException {
		report.say("Measuring " + layout.entries() + " entry processes and " + layout.servers() + " servers.");
		Map<Quantity, List<Double>> values = new EnumMap<>(Quantity.class);
		try (ChildProcesses children = environment.start(layout, List.of())) {
			Thread.sleep(SETTLE);
			for (int run = 0; run < environment.options().runs(); run++) {
				Totals before = read(environment, layout, children);
				Thread.sleep(Duration.ofSeconds(environment.options().seconds()));
				Totals after = read(environment, layout, children);
				compare(layout, before, after, values);
			}
			children.ended().forEach((name) -> report.addProblem(name + " ended"));
		}
		values.forEach((quantity, list) -> {
			String name = quantity.label + "_entries_" + layout.entries() + "_servers_" + layout.servers();
			Figure figure = Figure.of(name, quantity.unit, list);
			report.add(figure);
			medians.computeIfAbsent(quantity, (key) -> new ArrayList<>()).add(figure.median());
		});
	}

	private static void compare(Layout layout, Totals before, Totals after, Map<Quantity, List<Double>> values) {
		double seconds = (after.atNanos() - before.atNanos()) / NANOS_PER_SECOND;
		double nodeSeconds = seconds * layout.entries();
		add(values, Quantity.CPU, PERCENT * (after.cpuSeconds() - before.cpuSeconds()) / nodeSeconds);
		add(values, Quantity.MEMORY, after.residentMb() / layout.entries());
		add(values, Quantity.MESSAGES, (after.messages() - before.messages()) / nodeSeconds);
		add(values, Quantity.BYTES, (after.bytes() - before.bytes()) / nodeSeconds);
		add(values, Quantity.PROBES, (after.probes() - before.probes()) / seconds);
		add(values, Quantity.READS, (after.reads() - before.reads()) / seconds);
	}

	private static void add(Map<Quantity, List<Double>> values, Quantity quantity, double value) {
		values.computeIfAbsent(quantity, (key) -> new ArrayList<>()).add(value);
	}

	private static Totals read(Environment environment, Layout layout, ChildProcesses children)
			throws IOException, InterruptedException {
		double cpu = 0;
		double memory = 0;
		double messages = 0;
		double bytes = 0;
		long now = System.nanoTime();
		for (int i = 0; i < layout.entries(); i++) {
			ProcessUsage usage = ProcessUsage.of(children.get(Layout.vmName(i)));
			cpu += usage.cpuSeconds();
			memory += usage.residentMb();
			MetricsText metrics = new MetricsText(environment.http().get(Layout.adminUrl(i) + "/metrics"));
			messages += metrics.sum("lovagevale_peer_messages_sent_total");
			bytes += metrics.sum("lovagevale_peer_bytes_sent_total");
		}
		return new Totals(now, cpu, memory, messages, bytes, probes(environment), reads(environment));
	}

	private static double probes(Environment environment) throws IOException, InterruptedException {
		double sum = 0;
		for (JsonNode server : environment.http().getJson(Layout.controlUrl() + "/control/stats").path("servers")) {
			sum += server.path("counters").path("health_reads").asDouble();
		}
		return sum;
	}

	private static double reads(Environment environment) throws IOException, InterruptedException {
		JsonNode stats = environment.http().getJson(Layout.platformUrl() + "/control/stats");
		return stats.path("counters").path("settings_reads").asDouble();
	}

	private static void addSlopes(String per, int[] counts, Map<Quantity, List<Double>> medians, Report report) {
		double[] x = new double[counts.length];
		for (int i = 0; i < counts.length; i++) {
			x[i] = counts[i];
		}
		medians.forEach((quantity, list) -> {
			LinearFit fit = LinearFit.of(x, list.stream().mapToDouble(Double::doubleValue).toArray());
			String name = String.format(Locale.ROOT, "%s_per_%s", quantity.label, per);
			report.add(Figure.of("slope_" + name, quantity.unit, List.of(fit.slope())));
			report.add(Figure.of("intercept_" + name, quantity.unit, List.of(fit.intercept())));
			report.add(Figure.of("worst_residual_" + name, quantity.unit, List.of(fit.worstResidual())));
		});
	}

	/**
	 * What is measured.
	 */
	private enum Quantity {

		/** Processor time of one entry process. */
		CPU("cpu", "% of a core per node"),

		/** Memory of one entry process. */
		MEMORY("memory", "MB per node"),

		/** Messages that one entry process sends to peers. */
		MESSAGES("messages", "1/s per node"),

		/** Bytes that one entry process sends to peers. */
		BYTES("bytes", "B/s per node"),

		/** Probes of all servers by all entry processes. */
		PROBES("probes", "1/s in all"),

		/** Reads of settings by all entry processes. */
		READS("settings_reads", "1/s in all");

		private final String label;

		private final String unit;

		Quantity(String label, String unit) {
			this.label = label;
			this.unit = unit;
		}

	}

	/**
	 * Counts since the start of the processes.
	 *
	 * @param atNanos when they were read
	 * @param cpuSeconds processor time of all entry processes
	 * @param residentMb memory of all entry processes
	 * @param messages messages sent by all entry processes
	 * @param bytes bytes sent by all entry processes
	 * @param probes reads of health endpoints
	 * @param reads reads of settings
	 */
	private record Totals(long atNanos, double cpuSeconds, double residentMb, double messages, double bytes,
			double probes, double reads) {
	}

}
