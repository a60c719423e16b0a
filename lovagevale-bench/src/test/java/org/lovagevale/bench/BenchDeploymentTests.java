package org.lovagevale.bench;

import org.junit.jupiter.api.Test;
import org.lovagevale.settings.JsonSettingsReader;
import org.lovagevale.settings.SettingsException;
import org.lovagevale.settings.model.Settings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against benchmarks with a generated settings tree that the entry processes would
 * reject.
 */
class BenchDeploymentTests {

	@Test
	void settingsTreeListsAllEntryVmsAndServers() throws SettingsException {
		Settings settings = new JsonSettingsReader().read(1, new BenchDeployment(20, 36, 3).settingsTree());
		assertThat(settings.entryVms()).hasSize(20);
		assertThat(settings.services().get(0).servers()).hasSize(36);
	}

}
