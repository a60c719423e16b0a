package org.lovagevale.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.StringJoiner;

import org.lovagevale.settings.JsonSettingsReader;
import org.lovagevale.settings.SettingsException;
import org.lovagevale.settings.model.Settings;

/**
 * A generated settings tree for the control benchmark, with the proportions of the target
 * deployment: three regions with seven failure domains in all, and 340 services per 6,300
 * servers.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param entries number of entry VMs, at most 999
 * @param servers number of backend servers, at most 9,999
 */
record ControlTree(int entries, int servers) {

	static final int TARGET_SERVERS = 6_300;

	private static final int TARGET_SERVICES = 340;

	private static final int[] REGION_OF_DOMAIN = { 0, 0, 0, 1, 1, 2, 2 };

	private static final int REGIONS = 3;

	private static final int HOSTS_PER_SUBNET = 250;

	private static final int SERVER_PORT = 8_080;

	static String vmName(int entry) {
		return String.format(Locale.ROOT, "entry-%03d", entry + 1);
	}

	static String serverName(int server) {
		return String.format(Locale.ROOT, "server-%04d", server + 1);
	}

	static String routePath(int service) {
		return String.format(Locale.ROOT, "/service-%03d", service + 1);
	}

	int services() {
		return Math.max(1, this.servers * TARGET_SERVICES / TARGET_SERVERS);
	}

	List<String> vmNames() {
		List<String> names = new ArrayList<>();
		for (int i = 0; i < this.entries; i++) {
			names.add(vmName(i));
		}
		return names;
	}

	String content() {
		return """
				{
					"deployment": "control",
					"regions": { %s },
					"services": {
				%s
					}
				}
				""".formatted(regionSettings(), serviceSettings());
	}

	/**
	 * Returns the generated tree as parsed settings.
	 * @param version the settings version
	 * @return the settings
	 */
	Settings settings(long version) {
		try {
			return new JsonSettingsReader().read(version, content());
		}
		catch (SettingsException ex) {
			throw new IllegalStateException("the generated tree is not valid: " + ex.getMessage(), ex);
		}
	}

	private String regionSettings() {
		StringJoiner regions = new StringJoiner(", ");
		for (int region = 0; region < REGIONS; region++) {
			StringJoiner domains = new StringJoiner(", ");
			for (int domain = 0; domain < REGION_OF_DOMAIN.length; domain++) {
				if (REGION_OF_DOMAIN[domain] == region) {
					domains.add("\"%s\": { \"entryVms\": { %s } }".formatted(domainName(domain), vmSettings(domain)));
				}
			}
			regions.add("\"region-%d\": { \"domains\": { %s } }".formatted(region + 1, domains));
		}
		return regions.toString();
	}

	private String vmSettings(int domain) {
		StringJoiner vms = new StringJoiner(",\n");
		for (int i = domain; i < this.entries; i += REGION_OF_DOMAIN.length) {
			vms.add("\"%s\": {\"host\":\"%s\",\"callerPort\":80,\"peerPort\":81,\"adminPort\":82}".formatted(vmName(i),
					host(1, i)));
		}
		return vms.toString();
	}

	private String serviceSettings() {
		int count = services();
		StringJoiner services = new StringJoiner(",\n");
		for (int service = 0; service < count; service++) {
			StringJoiner list = new StringJoiner(",\n");
			for (int i = service; i < this.servers; i += count) {
				list.add("\"%s\":{\"domain\":\"%s\",\"host\":\"%s\",\"port\":%d}".formatted(serverName(i),
						domainName(i / count % REGION_OF_DOMAIN.length), host(2, i), SERVER_PORT));
			}
			services.add("\"service-%03d\": {\"routes\":{\"GET %s\":{}},\"servers\":{\n%s}}".formatted(service + 1,
					routePath(service), list));
		}
		return services.toString();
	}

	private static String domainName(int domain) {
		return "region-" + (REGION_OF_DOMAIN[domain] + 1) + "-" + (char) ('a' + domain);
	}

	private static String host(int subnet, int index) {
		return "127." + subnet + "." + index / HOSTS_PER_SUBNET + "." + (1 + index % HOSTS_PER_SUBNET);
	}

}
