package review;

import java.util.List;
import java.util.Map;

/**
 * Writes what the operator of a small deployment writes.
 */
final class Deployment {

	static final String HOST = "jepu9.example";

	/** Path prefix of an idempotent route. */
	static final String READ = "/lepu270/";

	/** Path prefix of a non-idempotent route. */
	static final String WRITE = "/xapu221/";

	static final Map<String, String> ZONES = Map.of("colombo-a", "lk-west", "colombo-b", "lk-west");

	static final String REGION = "lk-west";

	private Deployment() {
	}

	static void configure(Store store, int version, String readService, String writeService, long timeoutMs) {
		String rows = String.join(",", List.of(route("r-read", READ, "idempotent", readService, timeoutMs),
				route("r-write", WRITE, "non_idempotent", writeService, timeoutMs)));
		store.put("op/config", "{\"Version\":" + version
				+ ",\"Routes\":{\"Columns\":[\"Name\",\"Host\",\"Prefix\",\"RouteType\",\"Timeout\",\"TargetLatency\","
				+ "\"Priority\",\"Service\",\"Attempts\",\"AllowedRegions\",\"TrafficSplit\"],\"Rows\":[" + rows
				+ "]},\"Services\":{\"Columns\":[\"Name\",\"HealthPath\",\"MaxConnections\",\"Protocol\",\"Tls\","
				+ "\"Warmup\",\"WarmupPerS\"],\"Rows\":[[\"" + readService
				+ "\",\"/health\",260,\"h1\",false,\"3s\",4.0],[\"" + writeService
				+ "\",\"/health\",260,\"h1\",false,\"3s\",4.0]]},\"Limits\":{\"MaxHeaderBytes\":16384,"
				+ "\"MaxBodyBytes\":67108864,\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}}");
	}

	private static String route(String name, String prefix, String type, String service, long timeoutMs) {
		return "[\"" + name + "\",\"" + HOST + "\",\"" + prefix + "\",\"" + type + "\",\"" + timeoutMs
				+ "ms\",\"1500ms\",1,\"" + service + "\",2,[],null]";
	}

}
