package org.lovagevale.bench;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.lovagevale.peer.PeerException;

/**
 * Measures the bytes and processor time that digests cost one entry process, for fleets
 * of increasing size.
 */
final class ExchangeCost {

	private static final int[] ENTRY_COUNTS = { 20, 40, 80, 120, 200 };

	private static final int[] SERVER_COUNTS = { 40, ControlTree.TARGET_SERVERS };

	private static final int[] STATE_CHANGES_PER_SECOND = { 0, 50, 200, 500 };

	// Number of fleets simulated at a time. Each runs in a single thread, whose processor
	// time is measured.
	private static final int THREADS = 6;

	// Longer than the interval of 5 s at which a full digest is sent on each link.
	private static final long SETTLE_MS = 6_000;

	// The time limit is checked once per this much simulated time.
	private static final long LIMIT_CHECK_INTERVAL_MS = 500;

	private static final long SETTINGS_TIMEOUT_MS = 30_000;

	// Fleets above this size get fewer runs, since the cost of the simulation grows with
	// the square of the fleet size. The simulation is seeded, so fewer runs suffice.
	private static final int MAX_ENTRIES_WITH_ALL_RUNS = 40;

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double PERCENT = 100;

	private final Options options;

	private final long deadlineNanos;

	private final Report report;

	private final FigureSeries figures;

	ExchangeCost(Options options, Report report, FigureSeries figures) {
		this.options = options;
		this.deadlineNanos = System.nanoTime() + Duration.ofSeconds(options.limitSeconds()).toNanos();
		this.report = report;
		this.figures = figures;
	}

	void measure() throws IOException, InterruptedException {
		warmUp();
		ExecutorService executor = Executors.newFixedThreadPool(THREADS);
		try {
			List<Future<?>> futures = new ArrayList<>();
			for (int entries : ENTRY_COUNTS) {
				for (int servers : SERVER_COUNTS) {
					for (int changesPerSecond : STATE_CHANGES_PER_SECOND) {
						futures.add(executor.submit(() -> {
							measure(new ControlTree(entries, servers), changesPerSecond);
							return null;
						}));
					}
				}
			}
			for (Future<?> future : futures) {
				future.get();
			}
		}
		catch (ExecutionException ex) {
			throw new IOException("a simulated exchange failed: " + ex.getCause(), ex);
		}
		finally {
			executor.shutdownNow();
		}
	}

	private static void warmUp() throws IOException {
		try {
			new SimulatedExchange(new ControlTree(20, 400), 200).run(20_000);
		}
		catch (PeerException ex) {
			throw new IOException("a simulated exchange failed", ex);
		}
	}

	private void measure(ControlTree tree, int changesPerSecond) throws PeerException {
		SimulatedExchange exchange = new SimulatedExchange(tree, changesPerSecond);
		if (!settle(exchange)) {
			addProblem(tree + ", " + changesPerSecond + " state changes/s: not measured, the time limit has passed");
			return;
		}
		ThreadMXBean threadMxBean = ManagementFactory.getThreadMXBean();
		String name = "servers_" + tree.servers() + "_changes_" + changesPerSecond;
		double seconds = this.options.seconds();
		double entrySeconds = seconds * tree.entries();
		boolean isOpen = exchange.isOpen();
		int runs = runs(tree);
		for (int run = 0; run < runs; run++) {
			ExchangeTotals before = exchange.totals();
			long cpuNanos = threadMxBean.getCurrentThreadCpuTime();
			exchange.run((long) (seconds * MILLIS_PER_SECOND));
			cpuNanos = threadMxBean.getCurrentThreadCpuTime() - cpuNanos;
			ExchangeTotals totals = exchange.totals().minus(before);
			isOpen = isOpen && exchange.isOpen();
			add("digest_bytes_" + name, tree, "B/s per VM", totals.digestBytes() / entrySeconds);
			add("digest_messages_" + name, tree, "1/s per VM", totals.digests() / entrySeconds);
			add("digest_cpu_" + name, tree, "% of a core per VM", PERCENT * cpuNanos / NANOS_PER_SECOND / entrySeconds);
			add("platform_reads_" + name, tree, "1/s in all", totals.reads() / seconds);
		}
		if (!isOpen) {
			addProblem(tree + ", " + changesPerSecond + " state changes/s: an entry process did not accept new work");
		}
		printLine("Measured " + tree + " with " + changesPerSecond + " state changes/s.");
		if (changesPerSecond == 0) {
			measurePublication(exchange, tree);
		}
	}

	private int runs(ControlTree tree) {
		return Math.clamp((long) this.options.runs() * MAX_ENTRIES_WITH_ALL_RUNS / tree.entries(), 1,
				this.options.runs());
	}

	// Runs the simulation until it is in a steady state. Returns false if the time limit
	// has passed before.
	private boolean settle(SimulatedExchange exchange) throws PeerException {
		for (long elapsedMs = 0; elapsedMs < SETTLE_MS; elapsedMs += LIMIT_CHECK_INTERVAL_MS) {
			if (System.nanoTime() - this.deadlineNanos > 0) {
				return false;
			}
			exchange.run(LIMIT_CHECK_INTERVAL_MS);
		}
		return true;
	}

	private void measurePublication(SimulatedExchange exchange, ControlTree tree) throws PeerException {
		int runs = runs(tree);
		for (int run = 0; run < runs; run++) {
			ExchangeTotals before = exchange.totals();
			long millis = exchange.publish(SETTINGS_TIMEOUT_MS);
			ExchangeTotals totals = exchange.totals().minus(before);
			if (millis >= SETTINGS_TIMEOUT_MS) {
				addProblem(tree + ": new settings were not in force in all entry processes within the timeout");
			}
			add("settings_everywhere_servers_" + tree.servers(), tree, "ms", millis);
			add("settings_bytes_servers_" + tree.servers(), tree, "B per change and VM",
					(double) totals.otherBytes() / tree.entries());
		}
	}

	private void printLine(String line) {
		synchronized (this.report) {
			this.report.printLine(line);
		}
	}

	private void addProblem(String problem) {
		synchronized (this.report) {
			this.report.addProblem(problem);
		}
	}

	private void add(String name, ControlTree tree, String unit, double value) {
		this.figures.add(name, "entries", tree.entries(), unit, value);
	}

}
