package org.lovagevale.standins;

import org.lovagevale.standins.backend.BackendCommand;
import org.lovagevale.standins.caller.CallerCommand;
import org.lovagevale.standins.platform.PlatformCommand;
import org.lovagevale.standins.relay.RelayCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Command line entry point of the stand-ins.
 */
@Command(name = "standins", mixinStandardHelpOptions = true,
		description = "Stand-ins for tests and demonstrations on loopback addresses.",
		subcommands = { BackendCommand.class, PlatformCommand.class, RelayCommand.class, CallerCommand.class })
public final class Standins {

	private static final int ENVIRONMENT_EXIT_CODE = 3;

	private Standins() {
	}

	/**
	 * Runs a subcommand and exits with its exit code.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		// Without a configuration Logback logs to standard output at debug level.
		System.setProperty("logback.configurationFile", "logback-standins.xml");
		CommandLine line = new CommandLine(new Standins());
		line.setCaseInsensitiveEnumValuesAllowed(true);
		line.setExecutionExceptionHandler((ex, command, result) -> {
			command.getErr().println("standins: " + ex.getMessage());
			return ENVIRONMENT_EXIT_CODE;
		});
		System.exit(line.execute(args));
	}

}
