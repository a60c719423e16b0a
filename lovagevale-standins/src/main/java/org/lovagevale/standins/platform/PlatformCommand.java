package org.lovagevale.standins.platform;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import org.jspecify.annotations.Nullable;
import org.lovagevale.standins.http.StandInProcess;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Runs the platform stand-in as a process.
 */
@Command(name = "platform", mixinStandardHelpOptions = true,
		description = "Runs the settings service and the VM list; POST /control/publish publishes a settings tree.")
public final class PlatformCommand implements Callable<Integer> {

	@Spec
	@SuppressWarnings("NullAway.Init")
	private CommandSpec spec;

	@Option(names = "--host", defaultValue = "127.0.0.1", description = "Address to listen on.")
	private String host = "127.0.0.1";

	@Option(names = "--port", required = true, description = "Port to listen on; 0 for any.")
	private int port;

	@Option(names = "--settings", paramLabel = "FILE",
			description = "Settings tree to publish at the start and after each change of the file.")
	private @Nullable Path settings;

	@Option(names = "--vm", paramLabel = "NAME", description = "Additional VM in the VM list; may be repeated.")
	private List<String> vms = new ArrayList<>();

	@Option(names = "--vm-lag", paramLabel = "MS", defaultValue = "0",
			description = "Delay in milliseconds until a change shows in the VM list.")
	private long vmLag;

	@Option(names = "--reads-per-second", defaultValue = "2000",
			description = "Maximum number of reads of the settings per second.")
	private int readsPerSecond;

	@Override
	public Integer call() throws InterruptedException {
		try (PlatformStandIn platform = new PlatformStandIn()) {
			platform.setReadsPerSecond(this.readsPerSecond);
			platform.vms().setLagMs(this.vmLag);
			this.vms.forEach(platform.vms()::addLive);
			if (this.settings != null) {
				platform.publishFile(this.settings);
			}
			int opened = platform.start(this.host, this.port);
			StandInProcess.runUntilStopped(this.spec, "platform http://" + this.host + ":" + opened);
		}
		return 0;
	}

}
