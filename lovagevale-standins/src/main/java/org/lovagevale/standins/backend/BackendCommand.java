package org.lovagevale.standins.backend;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;

import org.lovagevale.standins.http.Json;
import org.lovagevale.standins.http.StandInProcess;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Runs stand-ins for backend servers in one process.
 */
@Command(name = "backend", mixinStandardHelpOptions = true,
		description = "Runs stand-ins for backend servers; POST /control/set on the control port changes them.")
public final class BackendCommand implements Callable<Integer> {

	@Spec
	@SuppressWarnings("NullAway.Init")
	private CommandSpec spec;

	@Option(names = "--server", required = true, paramLabel = "NAME=PORT",
			description = "Server that listens on PORT; may be repeated.")
	private Map<String, Integer> servers = new LinkedHashMap<>();

	@Option(names = "--host", defaultValue = "127.0.0.1", description = "Address to listen on.")
	private String host = "127.0.0.1";

	@Option(names = "--control", paramLabel = "PORT", defaultValue = "0", description = "Control port; 0 for any.")
	private int control;

	@Option(names = "--set", paramLabel = "NAME=VALUE",
			description = "Value for a member of the behaviour, for example slots=3 or serviceTime=exp:5; may be repeated.")
	private Map<String, String> values = new LinkedHashMap<>();

	@Option(names = "--path-time", paramLabel = "PREFIX=TIME",
			description = "Service time of requests with a path prefix, for example /archive=exp:80; may be repeated.")
	private Map<String, String> pathTimes = new LinkedHashMap<>();

	@Option(names = "--warm", description = "Start warm instead of cold.")
	private boolean warm;

	@Override
	public Integer call() throws InterruptedException {
		Map<String, Object> members = new LinkedHashMap<>(this.values);
		members.put("pathTimes", this.pathTimes);
		Behaviour behaviour = Json.replaceMembers(Behaviour.defaults(), Behaviour.class, Json.toTree(members));
		try (BackendGroup group = new BackendGroup()) {
			this.servers.forEach((name, port) -> group.add(name, this.host, port, behaviour, !this.warm));
			int port = group.openControl(this.host, this.control);
			StandInProcess.runUntilStopped(this.spec, "backend control http://" + this.host + ":" + port);
		}
		return 0;
	}

}
