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
 * A set of child processes that are terminated when the set is closed or the JVM shuts
 * down.
 *
 * <p>
 * Each child is terminated through its own handle, together with its descendants.
 * Thread-safe.
 */
public final class ChildProcesses implements AutoCloseable {

	private static final Logger log = LoggerFactory.getLogger(ChildProcesses.class);

	// Shorter than the graceful stop of an entry process, which is not needed here
	// because the process is no longer in use.
	private static final long TERMINATION_TIMEOUT_MS = 1_500;

	private static final long KILL_TIMEOUT_MS = 5_000;

	private final Path logDirectory;

	private final Map<String, Process> children = Collections.synchronizedMap(new LinkedHashMap<>());

	private final Thread shutdownHook = new Thread(this::terminateAll, "end-children");

	/**
	 * Creates an empty set.
	 * @param logDirectory the directory for the log files of the processes
	 */
	public ChildProcesses(Path logDirectory) {
		this.logDirectory = logDirectory;
		Runtime.getRuntime().addShutdownHook(this.shutdownHook);
	}

	/**
	 * Starts a process and appends its output to its {@linkplain #logFile(String) log
	 * file}.
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
	 * @return the file that receives its output
	 */
	public Path logFile(String name) {
		return this.logDirectory.resolve(name + ".log");
	}

	/**
	 * Returns the process with a name.
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
	 * Returns the names of the processes that have exited before {@link #close()}.
	 * @return the names, in the order in which the processes were started
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
	 * Describes how a process ended, for error messages.
	 * @param name the name of a process that has exited
	 * @return a text with its exit code and its log file
	 */
	public String describeEnd(String name) {
		return name + " exited with code " + get(name).exitValue() + "; see " + logFile(name);
	}

	@Override
	public void close() {
		terminateAll();
		try {
			Runtime.getRuntime().removeShutdownHook(this.shutdownHook);
		}
		catch (IllegalStateException ex) {
			// The JVM is shutting down, so the hook can no longer be removed.
			log.debug("event=children.hook-running");
		}
	}

	private void terminateAll() {
		List<ProcessHandle> handles = new ArrayList<>();
		synchronized (this.children) {
			for (Process child : this.children.values()) {
				child.descendants().forEach(handles::add);
				handles.add(child.toHandle());
			}
			this.children.clear();
		}
		handles.forEach(ProcessHandle::destroy);
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TERMINATION_TIMEOUT_MS);
		handles.forEach((handle) -> awaitExit(handle, deadline));
		List<ProcessHandle> survivors = handles.stream().filter(ProcessHandle::isAlive).toList();
		survivors.forEach(ProcessHandle::destroyForcibly);
		// Waits for the killed processes, so that their ports are free when this method
		// returns.
		long killDeadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KILL_TIMEOUT_MS);
		survivors.forEach((handle) -> awaitExit(handle, killDeadline));
	}

	private static void awaitExit(ProcessHandle handle, long deadline) {
		try {
			handle.onExit().get(Math.max(1, deadline - System.nanoTime()), TimeUnit.NANOSECONDS);
		}
		catch (TimeoutException | ExecutionException ex) {
			log.debug("event=child.still-running pid={}", handle.pid());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
