package org.lovagevale.standins.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A set of child processes that are terminated together with this process.
 *
 * <p>
 * Each child is terminated through its own handle, together with its descendants, on
 * {@link #close()} or on shutdown of the JVM. Thread-safe.
 */
public final class ChildProcesses implements AutoCloseable {

	private static final Logger log = LoggerFactory.getLogger(ChildProcesses.class);

	// A graceful stop of an entry process takes longer, but is not needed here because
	// the process is no longer in use.
	private static final long TERMINATION_TIMEOUT_MS = 1_500;

	private static final long KILL_TIMEOUT_MS = 5_000;

	private final Path logFolder;

	private final Map<String, Process> children = Collections.synchronizedMap(new LinkedHashMap<>());

	private final Thread shutdownHook = new Thread(this::endAll, "end-children");

	/**
	 * Creates an empty set.
	 * @param logFolder the folder for the output of the processes
	 */
	public ChildProcesses(Path logFolder) {
		this.logFolder = logFolder;
		Runtime.getRuntime().addShutdownHook(this.shutdownHook);
	}

	/**
	 * Starts a process and redirects its output to {@link #logFile(String)}.
	 * @param name its name, unique in this set
	 * @param command the program and its arguments
	 * @return the process
	 * @throws IOException if it cannot be started
	 */
	public Process start(String name, List<String> command) throws IOException {
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(name).toFile()));
		builder.environment().put("JAVA_HOME", System.getProperty("java.home"));
		Process process = builder.start();
		this.children.put(name, process);
		return process;
	}

	/**
	 * Returns the log file of a process.
	 * @param name its name
	 * @return the file with its output
	 */
	public Path logFile(String name) {
		return this.logFolder.resolve(name + ".log");
	}

	/**
	 * Returns a process.
	 * @param name its name
	 * @return the process
	 * @throws IllegalArgumentException if none was started with this name
	 */
	public Process get(String name) {
		Process process = this.children.get(name);
		if (process == null) {
			throw new IllegalArgumentException("no process named \"" + name + "\"");
		}
		return process;
	}

	/**
	 * Returns the processes that have exited although {@link #close()} was not called.
	 * @return their names
	 */
	public List<String> ended() {
		synchronized (this.children) {
			return this.children.entrySet()
				.stream()
				.filter((child) -> !child.getValue().isAlive())
				.map(Map.Entry::getKey)
				.toList();
		}
	}

	/**
	 * Describes how a process ended.
	 * @param name its name, of a process that has exited
	 * @return a text with its exit code and its log file
	 */
	public String describeEnd(String name) {
		return name + " ended with exit code " + get(name).exitValue() + "; see " + logFile(name);
	}

	@Override
	public void close() {
		endAll();
		try {
			Runtime.getRuntime().removeShutdownHook(this.shutdownHook);
		}
		catch (IllegalStateException ex) {
			log.debug("event=children.hook-running");
		}
	}

	private void endAll() {
		List<ProcessHandle> handles = new ArrayList<>();
		synchronized (this.children) {
			for (Process child : this.children.values()) {
				child.descendants().forEach(handles::add);
				handles.add(child.toHandle());
			}
			this.children.clear();
		}
		handles.forEach(ProcessHandle::destroy);
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TERMINATION_TIMEOUT_MS);
		handles.forEach((handle) -> await(handle, end));
		List<ProcessHandle> alive = handles.stream().filter(ProcessHandle::isAlive).toList();
		alive.forEach(ProcessHandle::destroyForcibly);
		// Waits for the killed processes, so that their ports are free when this method
		// returns.
		long killedEnd = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KILL_TIMEOUT_MS);
		alive.forEach((handle) -> await(handle, killedEnd));
	}

	private static void await(ProcessHandle handle, long end) {
		try {
			handle.onExit().get(Math.max(1, end - System.nanoTime()), TimeUnit.NANOSECONDS);
		}
		catch (TimeoutException | ExecutionException ex) {
			log.debug("event=child.still-running pid={}", handle.pid());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
