package org.lovagevale.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;

import org.lovagevale.bench.FigureMedians.Basis;
import org.lovagevale.bench.FigureMedians.Estimate;

/**
 * Computes the control plane cost of one entry process at the target size from measured
 * figures, and compares it with the limits.
 *
 * <p>
 * Immutable and thread-safe.
 */
final class Capacity {

	private static final int[] STATE_CHANGES_PER_SECOND = { 0, 50, 200, 500 };

	private static final int SERVERS = ControlTree.TARGET_SERVERS;

	private static final double CPU_LIMIT_PERCENT = 2.6;

	private static final double MEMORY_LIMIT_MB = 256;

	private static final double BYTES_PER_SECOND_LIMIT = 29_000;

	private static final double SETTINGS_PROPAGATION_LIMIT_SECONDS = 18;

	// 1 % of 2,000 reads per second.
	private static final double PLATFORM_READS_PER_SECOND_LIMIT = 20;

	private static final double ADDED_LATENCY_LIMIT_MS = 0.37;

	private static final double REQUESTS_PER_SECOND = 1.3e6;

	// 20,000 changes a day.
	private static final double SETTINGS_CHANGES_PER_SECOND = 20_000 / 86_400.0;

	private static final double TICKS_PER_SECOND = 20;

	// Peer hops of new settings from the process that reads them to the most distant one,
	// with 6 links per process.
	private static final double SETTINGS_HOPS = 4;

	private static final double BYTES_PER_MB = 1e6;

	private static final double MILLIS_PER_SECOND = 1e3;

	private static final double MICROS_PER_SECOND = 1e6;

	private static final double PERCENT = 100;

	private final FigureMedians controlFigures;

	private final FigureMedians measuringFigures;

	private final FigureMedians addedLatencyFigures;

	private final int vms;

	Capacity(FigureMedians controlFigures, FigureMedians measuringFigures, FigureMedians addedLatencyFigures, int vms) {
		this.controlFigures = controlFigures;
		this.measuringFigures = measuringFigures;
		this.addedLatencyFigures = addedLatencyFigures;
		this.vms = vms;
	}

	/**
	 * Computes all rows of the table.
	 * @return the rows
	 * @throws IOException if a series of control figures is missing
	 */
	List<Row> rows() throws IOException {
		List<Row> rows = new ArrayList<>();
		for (int changes : STATE_CHANGES_PER_SECOND) {
			Estimate bytes = exchangeFigure("digest_bytes", changes);
			rows.add(
					Row.of("digest bytes sent, " + changes + " state changes/s", bytes, "B/s", BYTES_PER_SECOND_LIMIT));
		}
		for (int changes : STATE_CHANGES_PER_SECOND) {
			rows.add(Row.of("processor time of control, " + changes + " state changes/s", controlCpu(changes),
					"% of a core", CPU_LIMIT_PERCENT));
		}
		rows.add(Row.of("- of it ticks", scaled(entryFigure("tick"), tickFactor()), "% of a core", CPU_LIMIT_PERCENT));
		rows.add(Row.of("- of it settings changes", settingsCpu(), "% of a core", CPU_LIMIT_PERCENT));
		Estimate heap = scaled(entryFigure("heap"), 1 / BYTES_PER_MB);
		rows.add(Row.of("heap of the logic and settings", heap, "MB", MEMORY_LIMIT_MB));
		rows.add(memoryRow(heap));
		rows.add(Row.of("settings in force everywhere", settingsPropagationSeconds(), "s",
				SETTINGS_PROPAGATION_LIMIT_SECONDS));
		rows.add(Row.of("reads of the platform, all VMs", exchangeFigure("platform_reads", 0), "1/s",
				PLATFORM_READS_PER_SECOND_LIMIT));
		rows.add(Row.of("settings bytes sent by changes", settingsBytesPerSecond(), "B/s", BYTES_PER_SECOND_LIMIT));
		rows.add(addedLatencyRow());
		rows.add(Row.of("decisions of requests", requestCpu(), "% of a core", Double.POSITIVE_INFINITY));
		return rows;
	}

	private Estimate exchangeFigure(String name, int changesPerSecond) throws IOException {
		return this.controlFigures
			.estimateAt(name + "_servers_" + SERVERS + "_changes_" + changesPerSecond + "_entries", this.vms);
	}

	private Estimate entryFigure(String name) throws IOException {
		return this.controlFigures.estimateAt(name + "_servers", SERVERS);
	}

	private static Estimate scaled(Estimate estimate, double factor) {
		return new Estimate(estimate.value() * factor, estimate.basis());
	}

	// The cost of the exchange includes the ticks of the fleet logic, which are thus
	// counted twice.
	private Estimate controlCpu(int changesPerSecond) throws IOException {
		return exchangeFigure("digest_cpu", changesPerSecond).plus(entryFigure("tick"), tickFactor())
			.plus(settingsCpu(), 1);
	}

	// Converts microseconds per tick to percent of a core.
	private static double tickFactor() {
		return PERCENT * TICKS_PER_SECOND / MICROS_PER_SECOND;
	}

	private Estimate settingsCpu() throws IOException {
		Estimate millis = entryFigure("settings_read").plus(entryFigure("settings_adopt_next"), 1);
		return scaled(millis, PERCENT * SETTINGS_CHANGES_PER_SECOND / MILLIS_PER_SECOND);
	}

	private Estimate settingsPropagationSeconds() throws IOException {
		Estimate simulated = this.controlFigures.estimateAt("settings_everywhere_servers_" + SERVERS + "_entries",
				this.vms);
		return scaled(simulated.plus(entryFigure("settings_read"), SETTINGS_HOPS), 1 / MILLIS_PER_SECOND);
	}

	private Estimate settingsBytesPerSecond() throws IOException {
		Estimate bytes = this.controlFigures.estimateAt("settings_bytes_servers_" + SERVERS + "_entries", this.vms);
		return scaled(bytes, SETTINGS_CHANGES_PER_SECOND);
	}

	private Estimate requestCpu() throws IOException {
		return scaled(entryFigure("request"), PERCENT * REQUESTS_PER_SECOND / this.vms / MICROS_PER_SECOND);
	}

	// Adds the memory of a process without servers, which is the intercept of the line
	// fitted over the numbers of servers.
	private Row memoryRow(Estimate heap) {
		OptionalDouble withoutServers = this.measuringFigures.median("intercept_memory_per_server");
		if (withoutServers.isEmpty()) {
			return Row.notMeasured("memory of the process", "MB", MEMORY_LIMIT_MB);
		}
		Estimate sum = new Estimate(heap.value() + withoutServers.getAsDouble(), Basis.EXTRAPOLATED);
		return Row.of("memory of the process", sum, "MB", MEMORY_LIMIT_MB);
	}

	private Row addedLatencyRow() {
		OptionalDouble added = this.addedLatencyFigures.median("added_p99_rate_2000");
		if (added.isEmpty()) {
			return Row.notMeasured("added latency, p99, 2000/s", "ms", ADDED_LATENCY_LIMIT_MS);
		}
		Estimate estimate = new Estimate(added.getAsDouble(), Basis.MEASURED);
		return Row.of("added latency, p99, 2000/s", estimate, "ms", ADDED_LATENCY_LIMIT_MS);
	}

	/**
	 * A row of the table, with a computed value and its limit.
	 *
	 * @param name what the value describes
	 * @param value the value, NaN if it was not measured
	 * @param unit the unit
	 * @param limit the greatest acceptable value
	 * @param basis how the value was obtained
	 */
	record Row(String name, double value, String unit, double limit, String basis) {

		private static final String NO_LIMIT = "no limit";

		static Row of(String name, Estimate estimate, String unit, double limit) {
			return new Row(name, estimate.value(), unit, limit, estimate.basis().name().toLowerCase(Locale.ROOT));
		}

		static Row notMeasured(String name, String unit, double limit) {
			return new Row(name, Double.NaN, unit, limit, "not measured");
		}

		static String header() {
			return String.format(Locale.ROOT, "%-46s %12s %10s  %-12s %-13s %s", "row", "value", "limit", "unit",
					"basis", "verdict");
		}

		boolean isMet() {
			return this.value <= this.limit;
		}

		String verdict() {
			if (Double.isNaN(this.value)) {
				return "unknown";
			}
			if (Double.isInfinite(this.limit)) {
				return NO_LIMIT;
			}
			return isMet() ? "holds" : "misses";
		}

		@Override
		public String toString() {
			return String.format(Locale.ROOT, "%-46s %12.2f %10.2f  %-12s %-13s %s", this.name, this.value, this.limit,
					this.unit, this.basis, verdict());
		}

	}

}
