package org.lovagevale.bench;

import java.io.IOException;

/**
 * A measurement with a name.
 *
 * <p>
 * Implementations need not be thread-safe.
 */
interface Benchmark {

	/**
	 * Returns the name.
	 * @return the name for the command line
	 */
	String name();

	/**
	 * Returns what is measured.
	 * @return one line
	 */
	String description();

	/**
	 * Measures.
	 * @param environment the processes and the options
	 * @param report receives the figures
	 * @throws IOException if the environment fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	void run(Environment environment, Report report) throws IOException, InterruptedException;

}
