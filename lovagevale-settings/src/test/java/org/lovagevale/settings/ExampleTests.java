package org.lovagevale.settings;

import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServiceName;
import org.lovagevale.settings.model.Settings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against example trees that a process would reject.
 */
class ExampleTests {

	@Test
	void demoIsValid() throws SettingsException {
		Settings settings = new JsonSettingsReader().read(1, ExampleTrees.read("demo"));
		assertThat(settings.domains()).hasSize(6);
		assertThat(settings.entryVms()).hasSize(3);
		assertThat(settings.services()).allMatch((service) -> service.servers().size() == 3);
		assertThat(settings.service(new ServiceName("documents")).orElseThrow().policy().maxRequestBytes())
			.isEqualTo(64 * 1024 * 1024);
		assertThat(settings.account(new AccountName("designers-west")).orElseThrow().homeRegions())
			.isEqualTo(Set.of(new Region("west")));
	}

}
