package org.lovagevale.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.lovagevale.base.AccountName;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.settings.model.AccountSettings;
import org.lovagevale.settings.model.AddressSettings;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.DomainSettings;
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
 * Settings for tests. A VM is given as "region/domain/name", with "!" in front if it is
 * out of service. There is one server in each region, named after it.
 */
final class TestSettings {

	static final AccountName WEST_ONLY = new AccountName("west-only");

	static final ServiceName SERVICE = new ServiceName("transfers");

	private TestSettings() {
	}

	static Settings settings(long version, String... vms) {
		List<EntryVm> entryVms = new ArrayList<>();
		Set<String> regions = new TreeSet<>();
		List<DomainSettings> domains = new ArrayList<>();
		for (String vm : vms) {
			EntryVm parsed = vm(vm);
			entryVms.add(parsed);
			regions.add(parsed.region().value());
			domains.add(new DomainSettings(parsed.domain(), parsed.region(), parsed.out()));
		}
		List<BackendServer> servers = regions.stream().map(TestSettings::server).toList();
		Policy policy = new Policy(1_000, 1_000, 1_000, Priority.NORMAL, 100, 10, 10, 0, true, Set.of(), 3, 260, 1, 20,
				50);
		RouteSettings route = new RouteSettings("GET /transfers", "GET", "/transfers", true, policy);
		AccountSettings account = new AccountSettings(WEST_ONLY, Set.of(new Region("west")), 0, 0, 1);
		return new Settings(version, "test", domains.stream().distinct().toList(), entryVms,
				List.of(new ServiceSettings(SERVICE, policy, List.of(route), servers)), List.of(account),
				ExchangeSettings.defaults(), KeySettings.defaults(), QuarantineSettings.defaults(),
				MeasuringSettings.defaults(), AddressSettings.defaults());
	}

	static BackendServer server(String region) {
		return new BackendServer(new ServerName("server-" + region), SERVICE, new FailureDomain(region),
				new Region(region), "127.0.0.1", 1, false, false);
	}

	static EntryVm vm(String text) {
		boolean isOut = text.startsWith("!");
		String[] parts = (isOut ? text.substring(1) : text).split("/");
		return new EntryVm(new VmName(parts[2]), new FailureDomain(parts[0] + "-" + parts[1]), new Region(parts[0]),
				"127.0.0.1", 1, 2, 3, isOut);
	}

}
