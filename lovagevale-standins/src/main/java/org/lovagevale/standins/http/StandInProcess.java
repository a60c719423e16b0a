package org.lovagevale.standins.http;

import java.io.PrintWriter;
import java.util.concurrent.CountDownLatch;

import picocli.CommandLine.Model.CommandSpec;

/**
 * Runs a stand-in as a process.
 *
 * <p>
 * Thread-safe.
 */
public final class StandInProcess {

	private StandInProcess() {
	}

	/**
	 * Prints that the process is ready and blocks until the JVM shuts down.
	 * @param spec the command to whose output the line is written
	 * @param ready the text after {@code ready} in the printed line
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void runUntilStopped(CommandSpec spec, String ready) throws InterruptedException {
		PrintWriter out = spec.commandLine().getOut();
		out.println("ready " + ready);
		out.flush();
		new CountDownLatch(1).await();
	}

}
