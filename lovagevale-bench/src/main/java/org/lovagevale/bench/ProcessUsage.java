package org.lovagevale.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * The processor time and the memory of a process and the processes that it started, as
 * the kernel reports them.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param cpuSeconds processor time since the start, in seconds
 * @param residentMb memory in use, in megabytes
 */
record ProcessUsage(double cpuSeconds, double residentMb) {

	// The unit of /proc/<pid>/stat, 100 on every Linux that Java supports.
	private static final double TICKS_PER_SECOND = 100;

	// Fields 14 and 15 of the file, counted after the name in parentheses.
	private static final int USER_TIME = 11;

	private static final int SYSTEM_TIME = 12;

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
		return (Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME])) / TICKS_PER_SECOND;
	}

	private static double residentMb(List<String> status) {
		return status.stream()
			.filter((line) -> line.startsWith("VmRSS:"))
			.mapToDouble((line) -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / KB_PER_MB)
			.findFirst()
			.orElse(0);
	}

}
