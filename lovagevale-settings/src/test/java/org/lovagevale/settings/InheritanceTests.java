package org.lovagevale.settings;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServiceName;
import org.lovagevale.settings.model.AccountSettings;
import org.lovagevale.settings.model.Priority;
import org.lovagevale.settings.model.RouteSettings;
import org.lovagevale.settings.model.ServiceSettings;
import org.lovagevale.settings.model.Settings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against values inherited from the wrong level, in particular against home
 * regions that are extended and requests that are treated as idempotent by mistake.
 */
class InheritanceTests {

	private static final Region WEST = new Region("west");

	@Test
	void innermostPolicyTakesPrecedenceAndHomeRegionsAreIntersected() throws SettingsException {
		ServiceSettings service = transfers(MiniTree.TEXT);
		RouteSettings post = route(service, "POST /transfers");
		assertThat(service.policy().timeoutMs()).isEqualTo(4_000);
		assertThat(post.policy().timeoutMs()).isEqualTo(500);
		assertThat(post.policy().priority()).isEqualTo(Priority.CRITICAL);
		assertThat(post.policy().homeRegions()).isEqualTo(Set.of(WEST));
	}

	@Test
	void onlySafeMethodsAreIdempotentByDefault() throws SettingsException {
		ServiceSettings service = transfers(MiniTree.TEXT);
		assertThat(route(service, "GET /transfers").idempotent()).isTrue();
		assertThat(route(service, "POST /transfers").idempotent()).isFalse();
		assertThat(route(service, "* /transfers").idempotent()).isFalse();
		assertThat(service.policy().keyRequired()).isTrue();
	}

	@Test
	void childAccountInheritsValuesThatItDoesNotSet() throws SettingsException {
		AccountSettings child = MiniTree.read(MiniTree.TEXT).account(new AccountName("designers-a")).orElseThrow();
		assertThat(child)
			.isEqualTo(new AccountSettings(new AccountName("designers-a"), Set.of(WEST, new Region("north")), 0, 7, 5));
		String narrowed = MiniTree.with("\"burst\": 7", "\"homeRegions\": [\"west\", \"south\"]");
		assertThat(MiniTree.read(narrowed).account(new AccountName("designers-a")).orElseThrow().homeRegions())
			.isEqualTo(Set.of(WEST));
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
			"west": {                 | "west": { "out": true,                 | true  | true  | true
			"west-1": {               | "west-1": { "out": true,               | true  | true  | true
			"entry-01": {             | "entry-01": { "out": true,             | false | true  | false
			"transfers-01": {         | "transfers-01": { "out": true,         | false | false | true
			"transfers-01": {         | "transfers-01": { "out": false,        | false | false | false
			""")
	void outIsInheritedDownwards(String text, String replacement, boolean domain, boolean vm, boolean server)
			throws SettingsException {
		assertOut(MiniTree.with(text, replacement), domain, vm, server);
	}

	@Test
	void outOnARegionCannotBeResetByDescendants() throws SettingsException {
		String content = MiniTree.with("\"west\": {", "\"west\": { \"out\": true,")
			.replace("\"west-1\": {", "\"west-1\": { \"out\": false,")
			.replace("\"transfers-01\": {", "\"transfers-01\": { \"out\": false,");
		assertOut(content, true, true, true);
	}

	private static void assertOut(String content, boolean domain, boolean vm, boolean server) throws SettingsException {
		Settings settings = MiniTree.read(content);
		boolean westIsOut = settings.domains().stream().anyMatch((item) -> item.region().equals(WEST) && item.out());
		List<Boolean> found = List.of(westIsOut, settings.entryVms().getFirst().out(),
				settings.services().getFirst().servers().getFirst().out());
		assertThat(found).containsExactly(domain, vm, server);
		assertThat(settings.services().getFirst().servers().getLast().out()).isFalse();
	}

	private static ServiceSettings transfers(String content) throws SettingsException {
		return MiniTree.read(content).service(new ServiceName("transfers")).orElseThrow();
	}

	private static RouteSettings route(ServiceSettings service, String name) {
		return service.routes().stream().filter((route) -> route.name().equals(name)).findFirst().orElseThrow();
	}

}
