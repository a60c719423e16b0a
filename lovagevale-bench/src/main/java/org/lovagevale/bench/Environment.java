package org.lovagevale.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.lovagevale.standins.http.BlockingHttpClient;
import org.lovagevale.standins.process.ChildProcesses;
import org.lovagevale.standins.process.Ports;
import org.lovagevale.standins.process.Programs;

/**
 * Starts the processes of a benchmark on loopback addresses: a platform, backend servers
 * and entry processes.
 *
 * <p>
 * Not thread-safe.
 */
final class Environment {

	private static final Duration START_TIMEOUT = Duration.ofSeconds(90);

	private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

	private static final int STAND_IN_HEAP_MB = 512;

	private final Programs programs;

	private final Path folder;

	private final Options options;

	private final BlockingHttpClient http = new BlockingHttpClient();

	Environment(Programs programs, Path folder, Options options) {
		this.programs = programs;
		this.folder = folder;
		this.options = options;
	}

	Options options() {
		return this.options;
	}

	BlockingHttpClient http() {
		return this.http;
	}

	/**
	 * Starts the processes of a deployment.
	 * @param deployment the deployment
	 * @param backendOptions additional arguments of the backend servers
	 * @return the processes, to be closed by the caller
	 * @throws IOException if a process does not become ready
	 * @throws InterruptedException if the thread is interrupted
	 */
	ChildProcesses start(BenchDeployment deployment, List<String> backendOptions)
			throws IOException, InterruptedException {
		Ports.checkFree(deployment.ports());
		Path settingsFile = this.folder.resolve("settings.jsonc");
		Files.writeString(settingsFile, deployment.settingsTree());
		ChildProcesses children = new ChildProcesses(this.folder);
		try {
			startAll(deployment, backendOptions, settingsFile, children);
		}
		catch (IOException | InterruptedException ex) {
			children.close();
			throw ex;
		}
		return children;
	}

	private void startAll(BenchDeployment deployment, List<String> backendOptions, Path settingsFile,
			ChildProcesses children) throws IOException, InterruptedException {
		children.start("platform", this.programs.standInCommand(STAND_IN_HEAP_MB, List.of("platform", "--port",
				Integer.toString(BenchDeployment.PLATFORM_PORT), "--settings", settingsFile.toString())));
		children.start("backends",
				this.programs.standInCommand(STAND_IN_HEAP_MB, backendArguments(deployment, backendOptions)));
		awaitOk(children, BenchDeployment.platformUrl() + "/control/stats");
		awaitOk(children, BenchDeployment.backendControlUrl() + "/control/stats");
		for (int i = 0; i < deployment.entries(); i++) {
			children.start(BenchDeployment.vmName(i),
					this.programs.entryCommand(BenchDeployment.vmName(i), BenchDeployment.platformUrl()));
		}
		for (int i = 0; i < deployment.entries(); i++) {
			awaitOk(children, BenchDeployment.adminUrl(i) + "/ready");
		}
	}

	private static List<String> backendArguments(BenchDeployment deployment, List<String> additional) {
		List<String> args = new ArrayList<>(
				List.of("backend", "--warm", "--control", Integer.toString(BenchDeployment.BACKEND_CONTROL_PORT)));
		for (int i = 0; i < deployment.servers(); i++) {
			args.add("--server");
			args.add(BenchDeployment.serverName(i) + "=" + BenchDeployment.serverPort(i));
		}
		args.addAll(additional);
		return args;
	}

	private void awaitOk(ChildProcesses children, String url) throws IOException, InterruptedException {
		long deadlineNanos = System.nanoTime() + START_TIMEOUT.toNanos();
		while (!this.http.isOk(url)) {
			List<String> ended = children.ended();
			if (!ended.isEmpty()) {
				throw new IOException(children.describeEnd(ended.get(0)));
			}
			if (System.nanoTime() > deadlineNanos) {
				throw new IOException(
						"no successful response from " + url + " within " + START_TIMEOUT.toSeconds() + " s");
			}
			Thread.sleep(POLL_INTERVAL);
		}
	}

}
