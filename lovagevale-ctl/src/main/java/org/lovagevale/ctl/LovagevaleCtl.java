package org.lovagevale.ctl;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.UnmatchedArgumentException;

/**
 * The command line tool {@code lovagevalectl}, which checks settings trees and requests
 * data from running entry processes.
 *
 * <p>
 * Not thread-safe.
 */
@Command(name = "lovagevalectl", description = "Checks settings trees and asks running entry processes.",
		mixinStandardHelpOptions = true, versionProvider = VersionProvider.class, scope = ScopeType.INHERIT,
		synopsisSubcommandLabel = "COMMAND", exitCodeListHeading = "Exit codes:%n",
		exitCodeList = { "0:success", "1:the checked item is not correct", "2:wrong usage", "3:environment" })
public final class LovagevaleCtl implements Callable<Integer> {

	/**
	 * Creates the root command, which only reports that no subcommand is given.
	 */
	public LovagevaleCtl() {
	}

	/**
	 * Runs the tool and exits the JVM with its exit code.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		// Logback's default configuration would write debug messages to standard output.
		System.setProperty("logback.configurationFile", "lovagevalectl-logback.xml");
		PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
		PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
		System.exit(run(out, err, args));
	}

	/**
	 * Runs the tool.
	 * @param out the writer for results
	 * @param err the writer for error messages, one line each
	 * @param args the command line
	 * @return the exit code
	 */
	public static int run(PrintWriter out, PrintWriter err, String... args) {
		Printer printer = new Printer(out);
		CommandLine commandLine = new CommandLine(new LovagevaleCtl()).addSubcommand("check", new CheckCommand(printer))
			.addSubcommand("show", new ShowCommand(printer))
			.addSubcommand("diff", new DiffCommand(printer))
			.addSubcommand("status", new StatusCommand(printer))
			.addSubcommand("audit", new AuditCommand(printer))
			.addSubcommand("explain", new ExplainCommand(printer));
		int code = commandLine.setOut(out)
			.setErr(err)
			.setCaseInsensitiveEnumValuesAllowed(true)
			.setParameterExceptionHandler((ex, arguments) -> reportUsageError(err, ex))
			.setExecutionExceptionHandler((ex, command, parsed) -> reportFailure(err, ex))
			.execute(args);
		out.flush();
		err.flush();
		return code;
	}

	@Override
	public Integer call() throws CtlException {
		throw new CtlException(ExitCode.USAGE, "no command given; see lovagevalectl --help");
	}

	private static int reportUsageError(PrintWriter err, ParameterException ex) {
		String command = ex.getCommandLine().getCommandSpec().qualifiedName();
		String suggestion = "";
		if (ex instanceof UnmatchedArgumentException unmatched && !unmatched.getSuggestions().isEmpty()) {
			suggestion = "; did you mean " + unmatched.getSuggestions().getFirst() + "?";
		}
		return report(err, ExitCode.USAGE, ex.getMessage() + suggestion + " See " + command + " --help");
	}

	private static int reportFailure(PrintWriter err, Exception ex) {
		if (ex instanceof CtlException failure) {
			return report(err, failure.exitCode(), failure.getMessage());
		}
		return report(err, ExitCode.ENVIRONMENT, "internal error, please report it: " + ex);
	}

	private static int report(PrintWriter err, ExitCode code, String message) {
		err.println("lovagevalectl: " + Printer.toPrintable(message));
		return code.value();
	}

}
