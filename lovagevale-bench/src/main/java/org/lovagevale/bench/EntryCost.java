package org.lovagevale.bench;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.lovagevale.base.ManualClock;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.VmName;
import org.lovagevale.core.EntryLogic;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.event.SettingsReceived;
import org.lovagevale.settings.JsonSettingsReader;
import org.lovagevale.settings.SettingsException;
import org.lovagevale.settings.model.Settings;

/**
 * Measures the time that one entry process takes to read and adopt settings, to run ticks
 * and to process requests, and its heap, for increasing numbers of backend servers.
 */
final class EntryCost {

	private static final int[] SERVER_COUNTS = { 100, 400, 1_600, 3_200, ControlTree.TARGET_SERVERS };

	private static final int ENTRY_VMS_PER_TREE = 130;

	private static final int WARM_UP_READS = 8;

	private static final int READS = 2;

	private static final int WARM_UP_TICKS = 1_000;

	private static final int TICKS = 500;

	private static final int WARM_UP_REQUESTS = 20_000;

	private static final int REQUESTS = 10_000;

	// At one tick per 50 ms this is a load of 1,000 requests per second of simulated
	// time.
	private static final int REQUESTS_PER_TICK = 50;

	// Heap readings are inexact. Several entry processes with few servers are therefore
	// measured together, up to this total number of servers.
	private static final int HEAP_TOTAL_SERVERS = 6_400;

	private static final double NANOS_PER_MICRO = 1e3;

	private static final double NANOS_PER_MILLI = 1e6;

	private final Options options;

	private final Report report;

	private final FigureSeries figures;

	EntryCost(Options options, Report report, FigureSeries figures) {
		this.options = options;
		this.report = report;
		this.figures = figures;
	}

	void measure() throws IOException {
		try {
			for (int servers : SERVER_COUNTS) {
				ControlTree tree = new ControlTree(ENTRY_VMS_PER_TREE, servers);
				this.report.printLine("Measuring one entry process with " + servers + " servers.");
				measureSettings(tree);
				measureTicksAndRequests(tree);
				measureHeap(tree);
			}
		}
		catch (SettingsException ex) {
			throw new IOException("the generated tree is not valid: " + ex.getMessage(), ex);
		}
	}

	private void measureSettings(ControlTree tree) throws SettingsException {
		String content = tree.content();
		readAndAdoptMillis(content, WARM_UP_READS);
		for (int run = 0; run < this.options.runs(); run++) {
			double[] millis = readAndAdoptMillis(content, READS);
			add("settings_read", tree, "ms", millis[0]);
			add("settings_adopt_first", tree, "ms", millis[1]);
			add("settings_adopt_next", tree, "ms", millis[2]);
			add("settings_bytes", tree, "B", content.getBytes(StandardCharsets.UTF_8).length);
		}
	}

	// Returns the mean times in milliseconds of reading settings, of adopting the first
	// settings and of adopting the next version.
	private static double[] readAndAdoptMillis(String content, int count) throws SettingsException {
		JsonSettingsReader reader = new JsonSettingsReader();
		ProcessIdentity self = new ProcessIdentity(new VmName(ControlTree.vmName(0)), new Incarnation(1_000, 1));
		double[] times = new double[3];
		for (int i = 0; i < count; i++) {
			EntryLogic logic = new EntryLogic(self, new ManualClock(100_000, 1_000_000_000), new SeededRandom(i));
			long start = System.nanoTime();
			Settings first = reader.read(1, content);
			times[0] += System.nanoTime() - start;
			times[1] += adoptNanos(logic, first, content);
			times[2] += adoptNanos(logic, reader.read(2, content), content);
		}
		for (int i = 0; i < times.length; i++) {
			times[i] /= NANOS_PER_MILLI * count;
		}
		return times;
	}

	private static long adoptNanos(EntryLogic logic, Settings settings, String content) {
		long start = System.nanoTime();
		logic.apply(new SettingsReceived(settings, content, true));
		return System.nanoTime() - start;
	}

	private void measureTicksAndRequests(ControlTree tree) {
		EntryLogicDriver entry = new EntryLogicDriver(tree, tree.settings(1), tree.content());
		microsPerTick(entry, WARM_UP_TICKS);
		for (int run = 0; run < this.options.runs(); run++) {
			add("tick", tree, "us", microsPerTick(entry, TICKS));
		}
		int nextId = 1;
		microsPerRequest(entry, tree, nextId, WARM_UP_REQUESTS);
		nextId += WARM_UP_REQUESTS;
		long dispatchedBefore = entry.dispatchCount();
		for (int run = 0; run < this.options.runs(); run++) {
			add("request", tree, "us", microsPerRequest(entry, tree, nextId, REQUESTS));
			nextId += REQUESTS;
		}
		long expected = (long) REQUESTS * this.options.runs();
		if (entry.dispatchCount() - dispatchedBefore != expected) {
			this.report.addProblem(tree + ": " + (entry.dispatchCount() - dispatchedBefore) + " of " + expected
					+ " requests were sent to a server");
		}
	}

	private static double microsPerTick(EntryLogicDriver entry, int count) {
		long before = entry.tickNanos();
		for (int i = 0; i < count; i++) {
			entry.tick();
		}
		return (entry.tickNanos() - before) / NANOS_PER_MICRO / count;
	}

	// The time excludes the ticks between the requests.
	private static double microsPerRequest(EntryLogicDriver entry, ControlTree tree, int firstId, int count) {
		int services = tree.services();
		long nanos = 0;
		for (int i = 0; i < count; i += REQUESTS_PER_TICK) {
			entry.tick();
			long start = System.nanoTime();
			for (int j = i; j < i + REQUESTS_PER_TICK; j++) {
				entry.processRequest(firstId + j, ControlTree.routePath(j % services));
			}
			nanos += System.nanoTime() - start;
		}
		return nanos / NANOS_PER_MICRO / count;
	}

	private void measureHeap(ControlTree tree) throws SettingsException {
		int count = Math.max(1, HEAP_TOTAL_SERVERS / tree.servers());
		for (int run = 0; run < this.options.runs(); run++) {
			long before = usedHeapBytes();
			List<EntryLogicDriver> entries = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				String content = tree.content();
				entries.add(new EntryLogicDriver(tree, new JsonSettingsReader().read(1, content), content));
			}
			long used = usedHeapBytes() - before;
			add("heap", tree, "B", (double) used / entries.size());
		}
	}

	private static long usedHeapBytes() {
		Runtime runtime = Runtime.getRuntime();
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return runtime.totalMemory() - runtime.freeMemory();
	}

	private void add(String name, ControlTree tree, String unit, double value) {
		this.figures.add(name, "servers", tree.servers(), unit, value);
	}

}
