package org.lovagevale.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * The processor time and memory of a process and its descendants, as reported by the
 * kernel.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param cpuSeconds processor time since the start, in seconds
 * @param residentMb resident memory, in megabytes
 */
record ProcessUsage(double cpuSeconds, double residentMb) {

	// Clock ticks in which /proc/<pid>/stat counts time; 100 per second on every Linux
	// that Java supports.
	private static final double CLOCK_TICKS_PER_SECOND = 100;

	// Indices of fields 14 and 15 (utime and stime) of the file, counted from the field
	// after the process name in parentheses.
	private static final int USER_TIME_INDEX = 11;

	private static final int SYSTEM_TIME_INDEX = 12;

	private static final double KB_PER_MB = 1_024;

	static ProcessUsage of(Process process) throws IOException {
		double cpu = 0;
		double memory = 0;
		List<ProcessHandle> all = Stream.concat(Stream.of(process.toHandle()), process.descendants()).toList();
		for (ProcessHandle handle : all) {
			Path folder = Path.of("/proc", Long.toString(handle.pid()));
			cpu += cpuSeconds(Files.readString(folder.resolve("stat")));
			memory += residentMb(Files.readAllLines(folder.resolve("status")));
		}
		return new ProcessUsage(cpu, memory);
	}

	private static double cpuSeconds(String stat) {
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
		return (Long.parseLong(fields[USER_TIME_INDEX]) + Long.parseLong(fields[SYSTEM_TIME_INDEX]))
				/ CLOCK_TICKS_PER_SECOND;
	}

	private static double residentMb(List<String> status) {
		return status.stream()
			.filter((line) -> line.startsWith("VmRSS:"))
			.mapToDouble((line) -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / KB_PER_MB)
			.findFirst()
			.orElse(0);
	}

}
