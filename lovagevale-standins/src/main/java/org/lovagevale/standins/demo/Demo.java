package org.lovagevale.standins.demo;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;

import org.lovagevale.settings.SettingsException;
import org.lovagevale.settings.model.EntryVm;
import org.lovagevale.standins.process.Programs;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Starts a small deployment on loopback addresses, sends requests and checks the
 * responses.
 */
@Command(name = "demo", mixinStandardHelpOptions = true,
		description = "Starts a small deployment on loopback addresses, sends requests and checks the responses.")
public final class Demo implements Callable<Integer> {

	private static final int FAILED_STEPS_EXIT_CODE = 1;

	private static final int ENVIRONMENT_EXIT_CODE = 3;

	@Spec
	@SuppressWarnings("NullAway.Init")
	private CommandSpec spec;

	@Option(names = "--root", hidden = true, defaultValue = ".", description = "Root directory of the project.")
	private Path root = Path.of(".");

	@Option(names = "--keep", description = "Leave the deployment running after the checks, until interrupted.")
	private boolean keep;

	@Option(names = "--port-shift", paramLabel = "N", defaultValue = "0",
			description = "Number to add to every port, for use when the default ports are taken.")
	private int portShift;

	private Demo() {
	}

	/**
	 * Runs the demonstration.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.setProperty("logback.configurationFile", "logback-standins.xml");
		CommandLine line = new CommandLine(new Demo());
		line.setExecutionExceptionHandler((ex, command, result) -> {
			command.getErr().println("demo: " + ex.getMessage());
			return ENVIRONMENT_EXIT_CODE;
		});
		System.exit(line.execute(args));
	}

	@Override
	public Integer call() throws IOException, InterruptedException, SettingsException {
		DemoReport report = new DemoReport(this.spec.commandLine().getOut());
		Path directory = Files.createTempDirectory("lovagevale-demo");
		Programs programs = new Programs(this.root);
		Path settingsFile = this.root.resolve("examples/demo/settings.jsonc");
		try (DemoFleet fleet = new DemoFleet(programs, settingsFile, directory, this.portShift)) {
			report.print("Starting the platform, " + fleet.servers().size() + " backend servers and "
					+ fleet.entryVms().size() + " entry processes; logs are in " + directory);
			fleet.start();
			try (DemoSteps steps = new DemoSteps(fleet, report)) {
				steps.run();
			}
			report.printSummary();
			if (this.keep) {
				printAddresses(fleet);
				new CountDownLatch(1).await();
			}
		}
		if (report.allPassed()) {
			deleteRecursively(directory);
		}
		return report.allPassed() ? 0 : FAILED_STEPS_EXIT_CODE;
	}

	private void printAddresses(DemoFleet fleet) {
		PrintWriter out = this.spec.commandLine().getOut();
		for (EntryVm vm : fleet.entryVms()) {
			out.println(vm.name() + "  callers http://" + vm.host() + ":" + vm.callerPort() + "  admin "
					+ DemoFleet.adminUrl(vm));
		}
		out.println("platform  " + fleet.platformUrl() + "  settings " + fleet.treeFile());
		out.println("backend control  " + fleet.backendControlUrl());
		out.println("The deployment is running; press Ctrl+C to stop it.");
		out.flush();
	}

	private static void deleteRecursively(Path directory) throws IOException {
		try (Stream<Path> files = Files.walk(directory)) {
			List<Path> all = files.sorted(Comparator.reverseOrder()).toList();
			for (Path file : all) {
				Files.delete(file);
			}
		}
	}

}
