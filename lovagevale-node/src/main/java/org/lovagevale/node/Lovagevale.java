package org.lovagevale.node;

import java.net.URI;
import java.security.SecureRandom;
import java.util.Locale;
import java.util.concurrent.Callable;

import ch.qos.logback.classic.Level;
import org.lovagevale.base.Clock;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.SystemClock;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.ProcessIdentity;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The command {@code lovagevale}.
 *
 * <p>
 * Not thread-safe.
 */
@Command(name = "lovagevale", mixinStandardHelpOptions = true, version = "lovagevale 0.1.0",
		description = "Runs an entry process of the load balancer lovagevale.")
public final class Lovagevale implements Callable<Integer> {

	/** Exit code if the environment prevents the command from running. */
	static final int EXIT_CODE_ENVIRONMENT = 3;

	private static final int MAX_DEFAULT_THREADS = 4;

	@Spec
	@SuppressWarnings("NullAway.Init")
	private CommandSpec spec;

	@Option(names = "--vm", required = true, paramLabel = "NAME", description = "The name of this VM in the settings.")
	@SuppressWarnings("NullAway.Init")
	private String vm;

	@Option(names = "--platform", required = true, paramLabel = "URL",
			description = "The platform, for example http://10.0.0.9:8500.")
	@SuppressWarnings("NullAway.Init")
	private URI platform;

	@Option(names = "--log-level", paramLabel = "LEVEL", defaultValue = "info",
			description = "error, warn, info or debug; default: ${DEFAULT-VALUE}.")
	private String logLevel = "info";

	@Option(names = "--threads", paramLabel = "COUNT",
			description = "Threads of the event loops; default: the number of cores, at most 4.")
	private int threads = Math.min(MAX_DEFAULT_THREADS, Runtime.getRuntime().availableProcessors());

	private Lovagevale() {
	}

	/**
	 * Runs the command.
	 * @param args the command line arguments
	 */
	public static void main(String[] args) {
		CommandLine line = new CommandLine(new Lovagevale());
		line.setParameterExceptionHandler((ex, ignored) -> {
			ex.getCommandLine().getErr().println("lovagevale: " + ex.getMessage() + "; see lovagevale --help");
			return CommandLine.ExitCode.USAGE;
		});
		line.setExecutionExceptionHandler((ex, command, result) -> {
			command.getErr().println("lovagevale: " + ex.getMessage());
			return EXIT_CODE_ENVIRONMENT;
		});
		System.exit(line.execute(args));
	}

	@Override
	public Integer call() throws InterruptedException {
		validateOptions();
		setLogLevel();
		Clock clock = new SystemClock();
		SecureRandom secure = new SecureRandom();
		ProcessIdentity self = new ProcessIdentity(new VmName(this.vm),
				new Incarnation(clock.epochMillis(), secure.nextInt()));
		EntryProcess process = new EntryProcess(self, withoutTrailingSlash(this.platform), this.threads, clock,
				new SeededRandom(secure.nextLong()));
		Thread stopHook = new Thread(() -> stop(process), "stop");
		Runtime.getRuntime().addShutdownHook(stopHook);
		process.start();
		int code = process.await();
		removeStopHook(stopHook);
		return code;
	}

	// A JVM that ends on a signal has the exit code 143, but a successful planned stop
	// has to end with 0.
	private static void stop(EntryProcess process) {
		try {
			process.stop();
			Runtime.getRuntime().halt(process.await());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void removeStopHook(Thread stopHook) {
		try {
			Runtime.getRuntime().removeShutdownHook(stopHook);
		}
		catch (IllegalStateException ex) {
			// A signal has started the shutdown hook, which ends the JVM.
			LoggerFactory.getLogger(Lovagevale.class).debug("event=process.hook-running");
		}
	}

	private void validateOptions() {
		String scheme = this.platform.getScheme();
		if (scheme == null || !scheme.toLowerCase(Locale.ROOT).equals("http") || this.platform.getHost() == null) {
			throw new ParameterException(this.spec.commandLine(), "--platform needs a URL like http://10.0.0.9:8500");
		}
		if (this.threads < 1) {
			throw new ParameterException(this.spec.commandLine(), "--threads needs a positive number");
		}
		try {
			new VmName(this.vm);
		}
		catch (IllegalArgumentException ex) {
			throw new ParameterException(this.spec.commandLine(), "--vm needs a name of a-z, 0-9 and hyphen", ex);
		}
	}

	// Paths that start with a slash are appended to the address.
	private static URI withoutTrailingSlash(URI uri) {
		return URI.create(uri.toString().replaceAll("/+$", ""));
	}

	private void setLogLevel() {
		Level level = Level.toLevel(this.logLevel, null);
		if (level == null) {
			throw new ParameterException(this.spec.commandLine(), "--log-level needs error, warn, info or debug");
		}
		((ch.qos.logback.classic.Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME)).setLevel(level);
	}

}
