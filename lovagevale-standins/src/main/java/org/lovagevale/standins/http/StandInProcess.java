package org.lovagevale.standins.http;

import java.io.PrintWriter;
import java.util.concurrent.CountDownLatch;

import picocli.CommandLine.Model.CommandSpec;

/**
 * Keeps the process of a stand-in running.
 *
 * <p>
 * Thread-safe.
 */
public final class StandInProcess {

	private StandInProcess() {
	}

	/**
	 * Prints a line that begins with {@code ready}, and blocks until the JVM shuts down.
	 * @param spec the command to whose output the line is written
	 * @param description the rest of the line
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void runUntilStopped(CommandSpec spec, String description) throws InterruptedException {
		PrintWriter out = spec.commandLine().getOut();
		out.println("ready " + description);
		out.flush();
		new CountDownLatch(1).await();
	}

}
