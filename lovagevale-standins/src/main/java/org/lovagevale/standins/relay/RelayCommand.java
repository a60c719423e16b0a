package org.lovagevale.standins.relay;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;

import org.lovagevale.standins.http.StandInProcess;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Runs TCP relays in one process.
 */
@Command(name = "relay", mixinStandardHelpOptions = true,
		description = "Runs TCP relays; POST /control/set on the control port changes their rules.")
public final class RelayCommand implements Callable<Integer> {

	@Spec
	@SuppressWarnings("NullAway.Init")
	private CommandSpec spec;

	@Option(names = "--route", required = true, paramLabel = "NAME=PORT:TARGETPORT",
			description = "Relay that listens on PORT and connects to TARGETPORT; may be repeated.")
	private Map<String, String> routes = new LinkedHashMap<>();

	@Option(names = "--host", defaultValue = "127.0.0.1", description = "Address to listen on and to connect to.")
	private String host = "127.0.0.1";

	@Option(names = "--control", paramLabel = "PORT", defaultValue = "0", description = "Control port; 0 for any.")
	private int control;

	@Override
	public Integer call() throws IOException, InterruptedException {
		try (RelayGroup group = new RelayGroup()) {
			for (Map.Entry<String, String> route : this.routes.entrySet()) {
				group.add(route.getKey(), this.host, route.getValue());
			}
			int port = group.openControl(this.host, this.control);
			StandInProcess.runUntilStopped(this.spec, "relay control http://" + this.host + ":" + port);
		}
		return 0;
	}

}
