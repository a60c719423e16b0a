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
 * Measures the bytes and processor time that digests cost one entry process, for growing
 * fleets.
 */
final class ExchangeCost {

	private static final int[] ENTRY_COUNTS = { 20, 40, 80, 120, 200 };

	private static final int[] SERVER_COUNTS = { 40, ControlTree.TARGET_SERVERS };

	private static final int[] STATE_CHANGES_PER_SECOND = { 0, 50, 200, 500 };

	// Each simulated exchange runs in a single thread, whose processor time is measured.
	private static final int THREADS = 6;

	// Longer than the interval of 5 s at which a full digest is sent on each link.
	private static final long SETTLE_MS = 6_000;

	// The time limit is checked after each slice of this much simulated time.
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
		ExecutorService threads = Executors.newFixedThreadPool(THREADS);
		try {
			List<Future<?>> points = new ArrayList<>();
			for (int entries : ENTRY_COUNTS) {
				for (int servers : SERVER_COUNTS) {
					for (int changes : STATE_CHANGES_PER_SECOND) {
						points.add(threads.submit(() -> {
							measure(new ControlTree(entries, servers), changes);
							return null;
						}));
					}
				}
			}
			for (Future<?> point : points) {
				point.get();
			}
		}
		catch (ExecutionException ex) {
			throw new IOException("a simulated exchange failed: " + ex.getCause(), ex);
		}
		finally {
			threads.shutdownNow();
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

	private void measure(ControlTree tree, int changes) throws PeerException {
		SimulatedExchange exchange = new SimulatedExchange(tree, changes);
		if (!settle(exchange)) {
			addProblem(tree + ", " + changes + " changes: not measured within the time limit");
			return;
		}
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		String name = "servers_" + tree.servers() + "_changes_" + changes;
		double seconds = this.options.seconds();
		double entrySeconds = seconds * tree.entries();
		boolean isOpen = exchange.isOpen();
		int runs = runs(tree);
		for (int run = 0; run < runs; run++) {
			ExchangeTotals before = exchange.totals();
			long cpu = threads.getCurrentThreadCpuTime();
			exchange.run((long) (seconds * MILLIS_PER_SECOND));
			cpu = threads.getCurrentThreadCpuTime() - cpu;
			ExchangeTotals totals = exchange.totals().minus(before);
			isOpen = isOpen && exchange.isOpen();
			add("digest_bytes_" + name, tree, "B/s per VM", totals.digestBytes() / entrySeconds);
			add("digest_messages_" + name, tree, "1/s per VM", totals.digests() / entrySeconds);
			add("digest_cpu_" + name, tree, "% of a core per VM", PERCENT * cpu / NANOS_PER_SECOND / entrySeconds);
			add("platform_reads_" + name, tree, "1/s in all", totals.reads() / seconds);
		}
		if (!isOpen) {
			addProblem(tree + ", " + changes + " changes: a process was not open");
		}
		printLine("Measured " + tree + " with " + changes + " changes a second.");
		if (changes == 0) {
			measurePublication(exchange, tree);
		}
	}

	private int runs(ControlTree tree) {
		return Math.clamp((long) this.options.runs() * MAX_ENTRIES_WITH_ALL_RUNS / tree.entries(), 1,
				this.options.runs());
	}

	private boolean settle(SimulatedExchange exchange) throws PeerException {
		for (long time = 0; time < SETTLE_MS; time += LIMIT_CHECK_INTERVAL_MS) {
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
				addProblem(tree + ": settings were not in force everywhere");
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
