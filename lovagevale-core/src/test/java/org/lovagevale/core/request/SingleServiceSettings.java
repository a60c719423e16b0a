package org.lovagevale.core.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.lovagevale.base.AccountName;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.settings.model.AccountSettings;
import org.lovagevale.settings.model.AddressSettings;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.EntryVm;
import org.lovagevale.settings.model.ExchangeSettings;
import org.lovagevale.settings.model.KeySettings;
import org.lovagevale.settings.model.MeasuringSettings;
import org.lovagevale.settings.model.Policy;
import org.lovagevale.settings.model.Priority;
import org.lovagevale.settings.model.QuarantineSettings;
import org.lovagevale.settings.model.RouteSettings;
import org.lovagevale.settings.model.ServiceSettings;
import org.lovagevale.settings.model.Settings;

/**
 * Builds settings with one service on the backend servers s0, s1 and so on, which
 * alternate between the regions north and south. The only entry VM is in north.
 */
final class SingleServiceSettings {

	static final Region NORTH = new Region("north");

	static final Region SOUTH = new Region("south");

	static final AccountName NORTH_ACCOUNT = new AccountName("local");

	static final AccountName SOUTH_ACCOUNT = new AccountName("abroad");

	static final AccountName RATE_LIMITED_ACCOUNT = new AccountName("limited");

	int servers = 4;

	int slots = 3;

	int connections = 260;

	int coldConcurrency = 1;

	long queueMs = 200;

	int queueLength = 10;

	int retryPercent = 10;

	long hedgeAfterMs;

	int warmAfterAnswers = 20;

	int ejectMaxPercent = 50;

	Set<Region> homeRegions = Set.of();

	/** Indexes of the servers that the settings take out of service. */
	final Set<Integer> outOfService = new HashSet<>();

	private long version;

	static String serverName(int i) {
		return "s" + i;
	}

	private Policy policy(Priority priority, boolean keyRequired) {
		return new Policy(1_000, 100_000, 500, priority, this.queueMs, this.queueLength, this.retryPercent,
				this.hedgeAfterMs, keyRequired, this.homeRegions, this.slots, this.connections, this.coldConcurrency,
				this.warmAfterAnswers, this.ejectMaxPercent);
	}

	BackendServer backendServer(int i) {
		Region region = (i % 2 == 0) ? NORTH : SOUTH;
		return new BackendServer(new ServerName(serverName(i)), new ServiceName("vans"),
				new FailureDomain(region.value() + "-1"), region, "127.0.0.1", 9_000 + i, this.outOfService.contains(i),
				false);
	}

	Settings build() {
		this.version++;
		List<RouteSettings> routes = List.of(
				new RouteSettings("GET /vans", "GET", "/vans", true, policy(Priority.NORMAL, false)),
				new RouteSettings("GET /vans/archive", "GET", "/vans/archive", true,
						policy(Priority.BACKGROUND, false)),
				new RouteSettings("POST /vans", "POST", "/vans", false, policy(Priority.CRITICAL, true)),
				new RouteSettings("POST /vans/notes", "POST", "/vans/notes", false, policy(Priority.NORMAL, false)));
		List<BackendServer> backendServers = new ArrayList<>();
		for (int i = 0; i < this.servers; i++) {
			backendServers.add(backendServer(i));
		}
		ServiceSettings service = new ServiceSettings(new ServiceName("vans"), policy(Priority.NORMAL, false), routes,
				backendServers);
		List<EntryVm> vms = List.of(new EntryVm(new VmName("entry-01"), new FailureDomain("north-1"), NORTH,
				"127.0.0.1", 8_001, 8_002, 8_003, false));
		List<AccountSettings> accounts = List.of(account(SOUTH_ACCOUNT, Set.of(SOUTH), 0),
				account(RATE_LIMITED_ACCOUNT, Set.of(), 1), account(NORTH_ACCOUNT, Set.of(NORTH), 0));
		return new Settings(this.version, "test", List.of(), vms, List.of(service), accounts,
				ExchangeSettings.defaults(), KeySettings.defaults(), QuarantineSettings.defaults(),
				MeasuringSettings.defaults(), AddressSettings.defaults());
	}

	private static AccountSettings account(AccountName name, Set<Region> homeRegions, int ratePerSecond) {
		return new AccountSettings(name, homeRegions, ratePerSecond, 0, 1);
	}

}
