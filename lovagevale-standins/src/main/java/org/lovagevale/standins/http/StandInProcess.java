package org.lovagevale.standins.http;

import java.io.PrintWriter;
import java.util.concurrent.CountDownLatch;

import picocli.CommandLine.Model.CommandSpec;

/**
 * The life of a stand-in that runs as a process.
 *
 * <p>
 * Thread-safe.
 */
public final class StandInProcess {

	private StandInProcess() {
	}

	/**
	 * Says that the process is ready and waits until the JVM is asked to stop.
	 * @param spec the command, which names the output to write to
	 * @param ready the line to write
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void runUntilStopped(CommandSpec spec, String ready) throws InterruptedException {
		PrintWriter out = spec.commandLine().getOut();
		out.println("ready " + ready);
		out.flush();
		new CountDownLatch(1).await();
	}

}
