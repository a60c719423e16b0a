package org.lovagevale.settings;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServiceName;
import org.lovagevale.settings.model.Settings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against example trees that a process would reject, or whose failure domains, VMs
 * and servers differ in number from the deployments that they describe.
 */
class ExampleTests {

	@ParameterizedTest
	@CsvSource({ "kandy, balances, 14, transfers, 12, statements, 12",
			"hellenic, listings, 12, reservations, 12, documents, 16" })
	void deploymentsHaveTheExpectedDomainsVmsAndServers(String name, String first, int firstCount, String second,
			int secondCount, String third, int thirdCount) throws SettingsException {
		Settings settings = new JsonSettingsReader().read(1, ExampleTrees.read(name));
		assertThat(settings.domains()).hasSize(6);
		assertThat(settings.entryVms()).hasSize(20);
		Map<String, Integer> counts = settings.services()
			.stream()
			.collect(Collectors.toMap((service) -> service.name().value(), (service) -> service.servers().size()));
		assertThat(counts).isEqualTo(Map.of(first, firstCount, second, secondCount, third, thirdCount));
	}

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
