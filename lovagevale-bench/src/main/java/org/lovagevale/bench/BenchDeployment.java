package org.lovagevale.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.StringJoiner;

/**
 * The entry processes and backend servers of a benchmark, with their addresses and their
 * settings tree.
 *
 * <p>
 * Entry processes and servers are assigned to three regions round-robin. Immutable and
 * thread-safe.
 *
 * @param entries number of entry processes, at most 99
 * @param servers number of backend servers of the only service
 * @param slots number of requests that one server runs concurrently
 */
record BenchDeployment(int entries, int servers, int slots) {

	static final int PLATFORM_PORT = 20_001;

	static final int BACKEND_CONTROL_PORT = 20_002;

	static final String SERVICE = "balances";

	private static final int FIRST_CALLER_PORT = 20_100;

	private static final int FIRST_PEER_PORT = 20_200;

	private static final int FIRST_ADMIN_PORT = 20_300;

	private static final int FIRST_SERVER_PORT = 21_000;

	private static final int REGIONS = 3;

	static String platformUrl() {
		return "http://127.0.0.1:" + PLATFORM_PORT;
	}

	static String backendControlUrl() {
		return "http://127.0.0.1:" + BACKEND_CONTROL_PORT;
	}

	static String adminUrl(int entry) {
		return "http://127.0.0.1:" + (FIRST_ADMIN_PORT + entry);
	}

	static String vmName(int entry) {
		return String.format(Locale.ROOT, "entry-%02d", entry + 1);
	}

	static int callerPort(int entry) {
		return FIRST_CALLER_PORT + entry;
	}

	static String serverName(int server) {
		return String.format(Locale.ROOT, "balances-%03d", server + 1);
	}

	static int serverPort(int server) {
		return FIRST_SERVER_PORT + server;
	}

	List<Integer> ports() {
		List<Integer> ports = new ArrayList<>(List.of(PLATFORM_PORT, BACKEND_CONTROL_PORT));
		for (int i = 0; i < this.entries; i++) {
			ports.addAll(List.of(FIRST_CALLER_PORT + i, FIRST_PEER_PORT + i, FIRST_ADMIN_PORT + i));
		}
		for (int i = 0; i < this.servers; i++) {
			ports.add(serverPort(i));
		}
		return ports;
	}

	String settingsTree() {
		return """
				{
					"deployment": "bench",
					"defaults": { "timeoutMs": 5000, "queueMs": 1000, "slots": %d },
					"regions": { %s },
					"services": { "%s": {
						"routes": { "GET /balances": { "idempotent": true } },
						"servers": { %s }
					} },
					"exchange": { "clockSkewMs": 50 },
					"measuring": { "coldWindowMs": 1000, "coldMinimumMs": 100 }
				}
				""".formatted(this.slots, regionSettings(), SERVICE, serverSettings());
	}

	private String regionSettings() {
		StringJoiner regions = new StringJoiner(", ");
		for (int region = 0; region < REGIONS; region++) {
			StringJoiner vms = new StringJoiner(", ");
			for (int i = region; i < this.entries; i += REGIONS) {
				vms.add("\"%s\": { \"host\": \"127.0.0.1\", \"callerPort\": %d, \"peerPort\": %d, \"adminPort\": %d }"
					.formatted(vmName(i), callerPort(i), FIRST_PEER_PORT + i, FIRST_ADMIN_PORT + i));
			}
			regions.add("\"region-%d\": { \"domains\": { \"%s\": { \"entryVms\": { %s } } } }".formatted(region + 1,
					domain(region), vms));
		}
		return regions.toString();
	}

	private String serverSettings() {
		StringJoiner result = new StringJoiner(",\n");
		for (int i = 0; i < this.servers; i++) {
			result.add("\"%s\": { \"domain\": \"%s\", \"host\": \"127.0.0.1\", \"port\": %d }".formatted(serverName(i),
					domain(i % REGIONS), serverPort(i)));
		}
		return result.toString();
	}

	private static String domain(int region) {
		return "region-" + (region + 1) + "-a";
	}

}
