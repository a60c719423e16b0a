package org.lovagevale.standins.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.lovagevale.settings.JsonSettingsReader;
import org.lovagevale.settings.SettingsException;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.EntryVm;
import org.lovagevale.settings.model.Settings;
import org.lovagevale.standins.http.BlockingHttpClient;
import org.lovagevale.standins.process.ChildProcesses;
import org.lovagevale.standins.process.Ports;
import org.lovagevale.standins.process.Programs;

/**
 * The processes of the demonstration: the platform stand-in, the stand-ins for the
 * backend servers, and the entry processes. The settings tree defines the servers and
 * processes.
 *
 * <p>
 * Not thread-safe.
 */
final class DemoFleet implements AutoCloseable {

	private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

	private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

	private static final int HEAP_MB = 192;

	private static final int PLATFORM_PORT = 18_001;

	private static final int CONTROL_PORT = 18_200;

	private static final String HOST = "127.0.0.1";

	private final BlockingHttpClient http = new BlockingHttpClient();

	private final Programs programs;

	private final ChildProcesses children;

	private final Path treeFile;

	private final String tree;

	private final Settings settings;

	private final int platformPort;

	private final int controlPort;

	DemoFleet(Programs programs, Path settingsFile, Path directory, int portShift)
			throws IOException, SettingsException {
		this.programs = programs;
		this.children = new ChildProcesses(directory);
		this.tree = Ports.shift(Files.readString(settingsFile), portShift);
		this.treeFile = directory.resolve("settings.jsonc");
		this.settings = new JsonSettingsReader().read(1, this.tree);
		this.platformPort = PLATFORM_PORT + portShift;
		this.controlPort = CONTROL_PORT + portShift;
	}

	void start() throws IOException, InterruptedException {
		Ports.checkFree(allPorts());
		publish(this.tree);
		this.children.start("platform", this.programs.standInCommand(HEAP_MB, List.of("platform", "--port",
				Integer.toString(this.platformPort), "--settings", this.treeFile.toString())));
		this.children.start("backends", this.programs.standInCommand(HEAP_MB, backendArguments()));
		awaitOk(platformUrl() + "/control/stats");
		awaitOk(backendControlUrl() + "/control/stats");
		for (EntryVm vm : entryVms()) {
			this.children.start(vm.name().value(), this.programs.entryCommand(vm.name().value(), platformUrl()));
		}
		for (EntryVm vm : entryVms()) {
			awaitOk(adminUrl(vm) + "/ready");
		}
	}

	// Replaces the file atomically, so that the platform never reads a file that is only
	// partly written.
	void publish(String changedTree) throws IOException {
		Path next = this.treeFile.resolveSibling("settings.next");
		Files.writeString(next, changedTree);
		Files.move(next, this.treeFile, StandardCopyOption.ATOMIC_MOVE);
	}

	String tree() {
		return this.tree;
	}

	List<EntryVm> entryVms() {
		return this.settings.entryVms();
	}

	List<BackendServer> servers() {
		return this.settings.services().stream().flatMap((service) -> service.servers().stream()).toList();
	}

	JsonNode backendStats() throws IOException, InterruptedException {
		return this.http.getJson(backendControlUrl() + "/control/stats");
	}

	JsonNode runsOfKey(String key) throws IOException, InterruptedException {
		return this.http.getJson(backendControlUrl() + "/control/runs?key=" + key);
	}

	long servedVersion() throws IOException, InterruptedException {
		return this.http.getJson(platformUrl() + "/control/stats").path("servedVersion").asLong();
	}

	JsonNode status(EntryVm vm) throws IOException, InterruptedException {
		return this.http.getJson(adminUrl(vm) + "/status");
	}

	String explain(String vm, String requestId) {
		EntryVm entryVm = entryVms().stream()
			.filter((candidate) -> candidate.name().value().equals(vm))
			.findFirst()
			.orElseThrow();
		try {
			return this.http.get(adminUrl(entryVm) + "/explain/" + requestId).strip();
		}
		catch (IOException ex) {
			return String.valueOf(ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return "interrupted";
		}
	}

	List<String> exitedProcesses() {
		return this.children.ended();
	}

	String platformUrl() {
		return "http://" + HOST + ":" + this.platformPort;
	}

	String backendControlUrl() {
		return "http://" + HOST + ":" + this.controlPort;
	}

	static String adminUrl(EntryVm vm) {
		return "http://" + vm.host() + ":" + vm.adminPort();
	}

	Path treeFile() {
		return this.treeFile;
	}

	@Override
	public void close() {
		this.children.close();
	}

	private List<Integer> allPorts() {
		List<Integer> ports = new ArrayList<>(List.of(this.platformPort, this.controlPort));
		servers().forEach((server) -> ports.add(server.port()));
		for (EntryVm vm : entryVms()) {
			ports.addAll(List.of(vm.callerPort(), vm.peerPort(), vm.adminPort()));
		}
		return ports;
	}

	private List<String> backendArguments() {
		List<String> args = new ArrayList<>(List.of("backend", "--control", Integer.toString(this.controlPort), "--set",
				"serviceTime=exp:3", "--set", "coldAnswers=5"));
		for (BackendServer server : servers()) {
			args.add("--server");
			args.add(server.name().value() + "=" + server.port());
		}
		return args;
	}

	private void awaitOk(String url) throws IOException, InterruptedException {
		long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
		while (!this.http.isOk(url)) {
			List<String> exited = this.children.ended();
			if (!exited.isEmpty()) {
				throw new IOException(this.children.describeEnd(exited.get(0)));
			}
			if (System.nanoTime() > deadline) {
				throw new IOException(
						"no response with status 200 from " + url + " within " + START_TIMEOUT.toSeconds() + " s");
			}
			Thread.sleep(POLL_INTERVAL);
		}
	}

}
