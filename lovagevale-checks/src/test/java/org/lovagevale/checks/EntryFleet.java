package org.lovagevale.checks;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.databind.JsonNode;
import org.lovagevale.base.SystemClock;
import org.lovagevale.settings.JsonSettingsReader;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.EntryVm;
import org.lovagevale.settings.model.Settings;
import org.lovagevale.standins.backend.BackendGroup;
import org.lovagevale.standins.backend.BackendStandIn;
import org.lovagevale.standins.backend.Behaviour;
import org.lovagevale.standins.caller.Caller;
import org.lovagevale.standins.caller.EntryAddress;
import org.lovagevale.standins.http.BlockingHttpClient;
import org.lovagevale.standins.platform.PlatformStandIn;
import org.lovagevale.standins.process.ChildProcesses;
import org.lovagevale.standins.process.Ports;
import org.lovagevale.standins.process.Programs;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs the demo deployment with real entry processes. The stand-ins for the platform and
 * the backend servers run in the test process.
 *
 * <p>
 * Not thread-safe.
 */
final class EntryFleet implements AutoCloseable {

	static final Duration TIMEOUT = Duration.ofSeconds(60);

	private static final int PORT_SHIFT = -6_000;

	private static final String HOST = "127.0.0.1";

	private final BlockingHttpClient http = new BlockingHttpClient();

	private final PlatformStandIn platform = new PlatformStandIn();

	private final BackendGroup backends = new BackendGroup();

	private final Programs programs;

	private final ChildProcesses children;

	private final Settings settings;

	private final String settingsTree;

	private final String platformUrl;

	EntryFleet(Path logs) throws Exception {
		Path root = Path.of(System.getProperty("lovagevale.root"));
		this.programs = new Programs(root);
		this.children = new ChildProcesses(logs);
		this.settingsTree = Ports.shift(Files.readString(root.resolve("examples/demo/settings.jsonc")), PORT_SHIFT);
		this.settings = new JsonSettingsReader().read(1, this.settingsTree);
		this.platform.publish(this.settingsTree);
		this.platformUrl = "http://" + HOST + ":" + this.platform.start(HOST, 0);
		for (BackendServer server : servers()) {
			this.backends.add(server.name().value(), HOST, server.port(), Behaviour.defaults(), false);
		}
		for (EntryVm vm : vms()) {
			start(vm);
		}
		for (EntryVm vm : vms()) {
			awaitReady(vm);
		}
	}

	void start(EntryVm vm) throws IOException {
		this.children.start(vm.name().value(), this.programs.entryCommand(vm.name().value(), this.platformUrl));
	}

	void awaitReady(EntryVm vm) throws Exception {
		await("readiness of " + vm.name(), () -> this.http.isOk(adminUrl(vm) + "/ready"));
	}

	// Without requests it takes some time until the entry processes learn that the
	// servers are warm.
	void awaitAllWarm() throws Exception {
		for (EntryVm vm : vms()) {
			await("warm servers at " + vm.name(),
					() -> status(vm).path("servers").findValuesAsText("state").stream().allMatch("WARM"::equals));
		}
	}

	void kill(EntryVm vm) throws Exception {
		Process process = this.children.get(vm.name().value());
		process.destroyForcibly().waitFor();
	}

	void signal(EntryVm vm, String signal) throws Exception {
		long pid = this.children.get(vm.name().value()).pid();
		int exitCode = new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
		assertThat(exitCode).isZero();
	}

	Process process(EntryVm vm) {
		return this.children.get(vm.name().value());
	}

	long publish(UnaryOperator<String> edit) {
		String edited = edit.apply(this.settingsTree);
		assertThat(edited).isNotEqualTo(this.settingsTree);
		return this.platform.publish(edited);
	}

	long publishOriginal() {
		return this.platform.publish(this.settingsTree);
	}

	PlatformStandIn platform() {
		return this.platform;
	}

	BackendGroup backends() {
		return this.backends;
	}

	BackendStandIn backend(String name) {
		return this.backends.server(name);
	}

	List<EntryVm> vms() {
		return this.settings.entryVms();
	}

	List<BackendServer> servers() {
		return this.settings.services().stream().flatMap((service) -> service.servers().stream()).toList();
	}

	Caller caller(String service, String account) {
		List<EntryAddress> seeds = vms().stream().map((vm) -> EntryAddress.of(vm.host(), vm.callerPort())).toList();
		return new Caller(seeds, service, account, new SystemClock());
	}

	EntryAddress addressOf(Caller caller, EntryVm vm) {
		return caller.addresses()
			.blockOptional(TIMEOUT)
			.orElseThrow()
			.addresses()
			.stream()
			.filter((address) -> address.vm().equals(vm.name().value()))
			.findFirst()
			.orElseThrow();
	}

	JsonNode status(EntryVm vm) throws Exception {
		return this.http.getJson(adminUrl(vm) + "/status");
	}

	long settingsVersionOf(EntryVm vm) throws Exception {
		return status(vm).path("settingsVersion").asLong();
	}

	static void await(String description, Condition condition) throws Exception {
		long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
		while (!isMet(condition)) {
			assertThat(System.nanoTime()).as(description + " within " + TIMEOUT).isLessThan(deadlineNanos);
			Thread.sleep(20);
		}
	}

	private static boolean isMet(Condition condition) throws Exception {
		try {
			return condition.isMet();
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static String adminUrl(EntryVm vm) {
		return "http://" + vm.host() + ":" + vm.adminPort();
	}

	@Override
	public void close() {
		this.children.close();
		this.backends.close();
		this.platform.close();
	}

	/**
	 * A condition to wait for.
	 */
	@FunctionalInterface
	interface Condition {

		boolean isMet() throws Exception;

	}

}
