package org.lovagevale.settings;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against origins that name a line other than the one that determines the value.
 */
class SettingsOriginsTests {

	@Test
	void originIsTheLineThatDeterminesTheValue() throws SettingsException {
		SettingsOrigins origins = SettingsOrigins.read(MiniTree.TEXT);
		assertThat(values(origins, "services/transfers/routes/POST /transfers")).contains(
				"idempotent=false [built-in default]",
				"timeoutMs=500 [services/transfers/routes/POST /transfers/policy/timeoutMs line 15]",
				"priority=critical [services/transfers/policy/priority line 13]",
				"homeRegions=[west] [defaults/homeRegions line 3, services/transfers/policy/homeRegions line 13]");
		assertThat(values(origins, "/accounts/designers/accounts/designers-a/"))
			.contains("weight=5 [accounts/designers/weight line 26]");
		assertThat(values(origins, "keys")).contains("epochMs=60000 [built-in default]");
	}

	@Test
	void originOfOutIsTheObjectThatSetsIt() throws SettingsException {
		SettingsOrigins origins = SettingsOrigins.read(MiniTree.with("\"west\": {", "\"west\": { \"out\": true,"));
		assertThat(values(origins, "services/transfers/servers/transfers-01"))
			.contains("out=true [regions/west/out line 5]", "region=west [regions/west line 5]");
	}

	@Test
	void suggestsTheNearestBranchForAnUnknownOne() throws SettingsException {
		SettingsOrigins origins = SettingsOrigins.read(MiniTree.TEXT);
		assertThat(origins.values("services/transfer")).isEmpty();
		assertThat(origins.suggestion("services/transfer")).contains("\"services/transfers\"");
		assertThat(origins.branchesBelow("regions/south")).containsExactly("regions/south/domains/south-1");
	}

	private static List<String> values(SettingsOrigins origins, String branch) {
		return origins.values(branch)
			.orElseThrow()
			.stream()
			.map((value) -> value.name() + "=" + value.value() + " " + value.origins())
			.toList();
	}

}
