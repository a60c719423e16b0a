package org.lovagevale.settings;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a diff that omits a change, or that also lists changes which only result
 * from another one in the list.
 */
class SettingsDiffTests {

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			textBlock = """
					"west": {         | "west": { "out": true,         | failure domain west-1: out (touches transfers) | failure domain west-1: back (touches transfers)
					"transfers-01": { | "transfers-01": { "out": true, | backend server transfers-01: out (touches transfers) | backend server transfers-01: back (touches transfers)
					"transfers-01": { | "transfers-01": { "drain": true, | backend server transfers-01: drained (touches transfers) | backend server transfers-01: undrained (touches transfers)
					"entry-01": {     | "entry-01": { "out": true,     | entry VM entry-01: out | entry VM entry-01: back
					"10.0.0.3"        | "10.0.0.4"                     | backend server transfers-02: moved, host 10.0.0.3 -> 10.0.0.4 (touches transfers) | backend server transfers-02: moved, host 10.0.0.4 -> 10.0.0.3 (touches transfers)
					"callerPort": 1   | "callerPort": 9                | entry VM entry-01: moved, callerPort 1 -> 9 | entry VM entry-01: moved, callerPort 9 -> 1
					4000              | 5000                           | service transfers: changed, timeoutMs 4000 -> 5000 (touches transfers) | service transfers: changed, timeoutMs 5000 -> 4000 (touches transfers)
					500 }             | 600 }                          | route POST /transfers: changed, timeoutMs 500 -> 600 (touches transfers) | route POST /transfers: changed, timeoutMs 600 -> 500 (touches transfers)
					"burst": 7        | "burst": 8                     | client account designers-a: changed, burst 7 -> 8 | client account designers-a: changed, burst 8 -> 7
					"deployment"      | "keys": { "capacity": 5 }, "deployment" | group keys: changed, capacity 20000 -> 5 | group keys: changed, capacity 5 -> 20000
					"10.0.0.3", "port": 1 } | "10.0.0.3", "port": 1 }, "transfers-03": { "domain": "north-1", "host": "10.0.0.9", "port": 1 } | backend server transfers-03: added (touches transfers) | backend server transfers-03: removed (touches transfers)
					""")
	void listsEachChangeOnce(String text, String replacement, String forward, String backward)
			throws SettingsException {
		String changed = MiniTree.with(text, replacement);
		assertThat(diff(MiniTree.TEXT, changed)).singleElement().hasToString(forward);
		assertThat(diff(changed, MiniTree.TEXT)).singleElement().hasToString(backward);
	}

	@Test
	void equivalentTreeHasNoDifferences() throws SettingsException {
		assertThat(
				diff(MiniTree.TEXT, MiniTree.with("\"* /transfers\": {}", "\"* /transfers\": {\"idempotent\": false}")))
			.isEmpty();
	}

	private static Iterable<SettingsChange> diff(String older, String newer) throws SettingsException {
		return SettingsDiff.between(MiniTree.read(older), MiniTree.read(newer));
	}

}
