package org.lovagevale.bench;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;

import org.jspecify.annotations.Nullable;
import org.lovagevale.standins.process.Programs;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The command that runs one benchmark with entry processes and stand-ins on loopback
 * addresses.
 */
@Command(name = "bench", mixinStandardHelpOptions = true,
		description = "Runs one benchmark with entry processes and stand-ins on loopback addresses.")
public final class Bench implements Callable<Integer> {

	private static final List<Benchmark> BENCHMARKS = List.of(new AddedLatency(), new IdleOverhead(), new TailLatency(),
			new ControlPlaneCost());

	private static final String CAPACITY = "capacity";

	private static final int EXIT_CHECK_FAILED = 1;

	private static final int EXIT_USAGE = 2;

	private static final int EXIT_EXECUTION_ERROR = 3;

	@Spec
	@SuppressWarnings("NullAway.Init")
	private CommandSpec spec;

	@Parameters(paramLabel = "NAME",
			description = "The benchmark, \"list\" to print all names, or \"capacity\" to compute the cost at the target size.")
	private String name = "list";

	@Option(names = "--out", paramLabel = "DIR", description = "Folder to which the figures are written as JSON lines.")
	private @Nullable Path outputFolder;

	@Option(names = "--runs", defaultValue = "5", description = "Repetitions; default 5.")
	private int runs;

	@Option(names = "--seconds", defaultValue = "5", description = "Duration of one repetition in seconds; default 5.")
	private int seconds;

	@Option(names = "--limit", defaultValue = "3600",
			description = "For control: seconds after which no further fleet is simulated; default 3600.")
	private int limitSeconds;

	@Option(names = "--in", paramLabel = "DIR", defaultValue = ".",
			description = "For capacity: folder with the figures of control, measuring and added-latency.")
	private Path inputFolder = Path.of(".");

	@Option(names = "--vms", defaultValue = "130", description = "For capacity: number of entry VMs; default 130.")
	private int vms;

	@Option(names = "--root", hidden = true, defaultValue = ".", description = "Root folder of the project.")
	private Path root = Path.of(".");

	private Bench() {
	}

	/**
	 * Runs the benchmark command and exits the process.
	 * @param args the command line arguments
	 */
	public static void main(String[] args) {
		System.setProperty("logback.configurationFile", "logback-standins.xml");
		CommandLine line = new CommandLine(new Bench());
		line.setExecutionExceptionHandler((ex, command, result) -> {
			command.getErr().println("bench: " + ex.getMessage());
			return EXIT_EXECUTION_ERROR;
		});
		System.exit(line.execute(args));
	}

	@Override
	public Integer call() throws IOException, InterruptedException {
		PrintWriter writer = this.spec.commandLine().getOut();
		if (this.name.equals("list")) {
			BENCHMARKS.forEach((benchmark) -> writer.println(benchmark.name() + "  " + benchmark.description()));
			writer.println(CAPACITY + "  cost at the target size, computed from the figures in the folder --in");
			return 0;
		}
		if (this.name.equals(CAPACITY)) {
			return printCapacity(writer);
		}
		Optional<Benchmark> found = BENCHMARKS.stream()
			.filter((benchmark) -> benchmark.name().equals(this.name))
			.findFirst();
		if (found.isEmpty()) {
			this.spec.commandLine().getErr().println("bench: no benchmark named \"" + this.name + "\"; try list");
			return EXIT_USAGE;
		}
		return runBenchmark(found.get(), new Report(writer));
	}

	private int printCapacity(PrintWriter writer) throws IOException {
		Capacity capacity = new Capacity(FigureMedians.read(this.inputFolder, "control"),
				FigureMedians.read(this.inputFolder, "measuring"),
				FigureMedians.read(this.inputFolder, "added-latency"), this.vms);
		List<Capacity.Row> rows = capacity.rows();
		writer.println("At " + ControlTree.TARGET_SERVERS + " servers and " + this.vms + " entry VMs, for each VM:");
		writer.println(Capacity.Row.header());
		rows.forEach(writer::println);
		writer.flush();
		return rows.stream().allMatch(Capacity.Row::isMet) ? 0 : EXIT_CHECK_FAILED;
	}

	private int runBenchmark(Benchmark benchmark, Report report) throws IOException, InterruptedException {
		Path folder = Files.createTempDirectory("lovagevale-bench");
		report.printLine("Logs of the processes are in " + folder);
		Options options = new Options(this.runs, this.seconds, this.limitSeconds);
		benchmark.run(new Environment(new Programs(this.root), folder, options), report);
		report.printTable();
		report.printJsonLines();
		if (this.outputFolder != null) {
			report.writeFile(this.outputFolder, benchmark.name());
		}
		return report.isValid() ? 0 : EXIT_CHECK_FAILED;
	}

}
