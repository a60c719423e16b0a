package org.lovagevale.bench;

import java.io.IOException;

/**
 * A benchmark that can be selected on the command line.
 *
 * <p>
 * Implementations need not be thread-safe.
 */
interface Benchmark {

	/**
	 * Returns the name of this benchmark.
	 * @return the name used on the command line
	 */
	String name();

	/**
	 * Describes what this benchmark measures.
	 * @return a description of one line
	 */
	String description();

	/**
	 * Runs this benchmark.
	 * @param environment starts the processes and holds the options
	 * @param report receives the figures and problems
	 * @throws IOException if a process or the communication with it fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	void run(Environment environment, Report report) throws IOException, InterruptedException;

}
