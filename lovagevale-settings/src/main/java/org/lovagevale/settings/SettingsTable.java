package org.lovagevale.settings;

import java.util.List;
import java.util.Set;

import org.lovagevale.settings.model.AddressSettings;
import org.lovagevale.settings.model.ExchangeSettings;
import org.lovagevale.settings.model.KeySettings;
import org.lovagevale.settings.model.MeasuringSettings;
import org.lovagevale.settings.model.Priority;
import org.lovagevale.settings.model.QuarantineSettings;

/**
 * Defines every setting with its type, unit, range, default and description.
 *
 * <p>
 * The checks use this table, and docs/settings-reference.md is generated from it.
 * Thread-safe.
 */
final class SettingsTable {

	private static final long MAX_TIMEOUT_MS = 3_600_000;

	private static final long MAX_BODY_BYTES = 1_073_741_824;

	private static final long MAX_PORT = 65_535;

	private static final Setting HOME_REGIONS = Setting.of("homeRegions", SettingType.REGIONS, Set.of(),
			"The only regions that may serve and store; intersected with inherited ones, all if not given.");

	private static final Setting OUT = Setting.of("out", SettingType.OUT, false,
			"Takes this and everything below it out of service; cannot be cleared below.");

	static final SettingGroup ROOT = new SettingGroup("Root", "",
			List.of(Setting.required("deployment", SettingType.NAME, "The name of the deployment.")),
			List.of("defaults", "regions", "services", "accounts", "exchange", "keys", "quarantine", "measuring",
					"addresses"));

	static final SettingGroup POLICY = new SettingGroup("Policy",
			"defaults, services/*/policy, services/*/routes/*/policy",
			List.of(Setting.integer("timeoutMs", "ms", 1, MAX_TIMEOUT_MS, 10_000, "The longest time for a request."),
					Setting.integer("maxRequestBytes", "bytes", 0, MAX_BODY_BYTES, 1_048_576,
							"The largest request body."),
					Setting.integer("idleTimeoutMs", "ms", 1, MAX_TIMEOUT_MS, 5_000,
							"The longest time without data on a connection with a request in progress."),
					Setting.of("priority", SettingType.PRIORITY, Priority.NORMAL,
							"The order in which requests are admitted under overload."),
					Setting.integer("queueMs", "ms", 0, 600_000, 500,
							"The longest wait for a backend server, 0 for no wait."),
					Setting
						.integer("queueLength", "requests", 0, 100_000, 100,
								"The most requests of a service that wait in one process.")
						.asServiceOnly(),
					Setting
						.integer("retryPercent", "%", 0, 100, 10,
								"The retry budget as a share of requests, 0 for no retries.")
						.asServiceOnly(),
					Setting.integer("hedgeAfterMs", "ms", 0, 600_000, 0,
							"The delay before a hedged request, 0 for no hedged requests."),
					Setting.of("keyRequired", SettingType.BOOLEAN, true,
							"Whether a request that is not idempotent must carry an idempotency key."),
					HOME_REGIONS,
					Setting
						.integer("slots", "requests", 1, 10_000, 3, "Requests that one backend server runs at a time.")
						.asServiceOnly(),
					Setting
						.integer("connections", "connections", 1, 100_000, 260,
								"Connections that one backend server accepts from all entry VMs together.")
						.asServiceOnly(),
					Setting
						.integer("coldConcurrency", "requests", 1, 10_000, 1,
								"Requests at a time that a backend server in a cold start can handle; at most slots.")
						.asServiceOnly(),
					Setting
						.integer("warmAfterAnswers", "responses", 1, 100_000, 20,
								"Successful responses after which a backend server that reports no state is warm.")
						.asServiceOnly(),
					Setting
						.integer("ejectMaxPercent", "%", 0, 100, 30,
								"The largest share of backend servers ejected because of bad outcomes.")
						.asServiceOnly()),
			List.of());

	static final SettingGroup REGION = new SettingGroup("Region", "regions/*", List.of(OUT), List.of("domains"));

	static final SettingGroup DOMAIN = new SettingGroup("Failure domain", "regions/*/domains/*", List.of(OUT),
			List.of("entryVms"));

	static final SettingGroup ENTRY_VM = new SettingGroup("Entry VM", "regions/*/domains/*/entryVms/*",
			List.of(Setting.required("host", SettingType.IP, "The address of the VM."),
					Setting.requiredInteger("callerPort", "TCP port", 1, MAX_PORT, "The port for callers."),
					Setting.requiredInteger("peerPort", "TCP port", 1, MAX_PORT, "The port for other entry processes."),
					Setting.requiredInteger("adminPort", "TCP port", 1, MAX_PORT, "The port for operators."), OUT),
			List.of());

	static final SettingGroup SERVICE = new SettingGroup("Service", "services/*", List.of(),
			List.of("policy", "routes", "servers"));

	static final SettingGroup ROUTE = new SettingGroup("Route",
			"services/*/routes/*, named \"METHOD /prefix\" or \"* /prefix\"",
			List.of(Setting.of("idempotent", SettingType.BOOLEAN, false,
					"Whether a request may run more than once; true for GET, HEAD and OPTIONS if not given.")),
			List.of("policy"));

	static final SettingGroup SERVER = new SettingGroup("Backend server", "services/*/servers/*",
			List.of(Setting.required("domain", SettingType.NAME, "The failure domain of the server."),
					Setting.required("host", SettingType.IP, "The address of the server."),
					Setting.requiredInteger("port", "TCP port", 1, MAX_PORT, "The port of the server."), OUT,
					Setting.of("drain", SettingType.BOOLEAN, false,
							"Whether the server receives no new work while running work completes.")),
			List.of());

	static final SettingGroup ACCOUNT = new SettingGroup("Client account", "accounts/*, accounts/*/accounts/*", List.of(
			HOME_REGIONS,
			Setting.integer("ratePerSecond", "requests/s", 0, 1_000_000, 0,
					"Requests that one entry process admits, 0 for no limit."),
			Setting.integer("burst", "requests", 0, 1_000_000, 0, "Requests admitted at once above the rate."),
			Setting.integer("weight", "shares", 1, 1_000, 1, "The share under overload relative to other accounts.")),
			List.of("accounts"));

	static final SettingGroup EXCHANGE = exchange(ExchangeSettings.defaults());

	static final SettingGroup KEYS = keys(KeySettings.defaults());

	static final SettingGroup QUARANTINE = quarantine(QuarantineSettings.defaults());

	static final SettingGroup MEASURING = measuring(MeasuringSettings.defaults());

	static final SettingGroup ADDRESSES = addresses(AddressSettings.defaults());

	private SettingsTable() {
	}

	static List<SettingGroup> groups() {
		return List.of(ROOT, POLICY, REGION, DOMAIN, ENTRY_VM, SERVICE, ROUTE, SERVER, ACCOUNT, EXCHANGE, KEYS,
				QUARANTINE, MEASURING, ADDRESSES);
	}

	private static SettingGroup exchange(ExchangeSettings defaults) {
		return new SettingGroup("Exchange", "exchange", List.of(
				Setting.integer("peerLinks", "links", 1, 64, defaults.peerLinks(),
						"Links that a process opens to other entry processes."),
				Setting.integer("digestMs", "ms", 10, 10_000, defaults.digestMs(), "Time between digests."),
				Setting.integer("unreachableMs", "ms", 100, 600_000, defaults.unreachableMs(),
						"Time without news of a VM after which it counts as unreachable; longer than digestMs."),
				Setting.integer("peerBytesPerSecond", "bytes/s", 1_000, 100_000_000, defaults.peerBytesPerSecond(),
						"The most bytes sent on one link in a second."),
				Setting.integer("fenceMs", "ms", 100, 60_000, defaults.fenceMs(),
						"Age of the last confirmation after which settings count as unconfirmed; longer than selfReadMs."),
				Setting.integer("settingsReaders", "processes", 1, 64, defaults.settingsReaders(),
						"Processes that watch the settings service at a time."),
				Setting.integer("readerWindowMs", "ms", 100, 600_000, defaults.readerWindowMs(),
						"Length of the time window for which readers are chosen."),
				Setting.integer("watchMs", "ms", 10, 30_000, defaults.watchMs(),
						"Duration of one long poll of the settings service."),
				Setting.integer("selfReadMs", "ms", 50, 60_000, defaults.selfReadMs(),
						"Age of the last confirmation after which a process reads the settings service itself; longer than watchMs."),
				Setting.integer("noticeWaitMs", "ms", 0, 10_000, defaults.noticeWaitMs(),
						"The longest wait for acknowledgements of a notice."),
				Setting.integer("clockSkewMs", "ms", 0, 60_000, defaults.clockSkewMs(),
						"The largest difference between wall clocks of VMs and servers.")),
				List.of());
	}

	private static SettingGroup keys(KeySettings defaults) {
		return new SettingGroup("Idempotency keys", "keys",
				List.of(Setting.integer("capacity", "keys", 1, 10_000_000, defaults.capacity(),
						"Keys that one process remembers at a time."),
						Setting.integer("epochMs", "ms", 100, 3_600_000, defaults.epochMs(), "Length of a key epoch."),
						Setting.integer("validEpochs", "epochs", 1, 10_000, defaults.validEpochs(),
								"Epochs for which a key is remembered."),
						Setting.integer("replayBytes", "bytes", 0, 1_048_576, defaults.replayBytes(),
								"The largest response body kept for replay.")),
				List.of());
	}

	private static SettingGroup quarantine(QuarantineSettings defaults) {
		return new SettingGroup("Quarantine", "quarantine",
				List.of(Setting.integer("strikes", "strikes", 1, 10, defaults.strikes(),
						"Strikes after which a fingerprint is rejected."),
						Setting.integer("forgetMs", "ms", 100, 86_400_000, defaults.forgetMs(),
								"Time after the last strike until a fingerprint is forgotten."),
						Setting.integer("capacity", "fingerprints", 1, 1_000_000, defaults.capacity(),
								"Fingerprints remembered at a time."),
						Setting.integer("prefixBytes", "bytes", 0, 65_536, defaults.prefixBytes(),
								"Bytes of the body that are included in the fingerprint.")),
				List.of());
	}

	private static SettingGroup measuring(MeasuringSettings defaults) {
		return new SettingGroup("Measuring", "measuring", List.of(
				Setting.integer("probeQuietMs", "ms", 10, 600_000, defaults.probeQuietMs(),
						"Time since the last response of a backend server after which it is probed."),
				Setting.integer("probesPerMinute", "probes/min", 0, 6_000, defaults.probesPerMinute(),
						"The most probes of one backend server from all VMs together."),
				Setting.integer("coldWindowMs", "ms", 100, 600_000, defaults.coldWindowMs(),
						"Length of the time window for which one VM owns a cold server; longer than clockSkewMs and coldMinimumMs together."),
				Setting.integer("coldMinimumMs", "ms", 1, 60_000, defaults.coldMinimumMs(),
						"The shortest time left in a window for new work to a cold server.")),
				List.of());
	}

	private static SettingGroup addresses(AddressSettings defaults) {
		return new SettingGroup("Addresses for callers", "addresses",
				List.of(Setting.integer("count", "addresses", 1, 16, defaults.count(),
						"The most addresses in a response."),
						Setting.integer("validForMs", "ms", 100, 600_000, defaults.validForMs(),
								"The time for which a caller may cache a response.")),
				List.of());
	}

}
