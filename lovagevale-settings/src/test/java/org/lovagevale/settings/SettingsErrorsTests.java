package org.lovagevale.settings;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Guards against invalid trees that are accepted, and against errors that do not state
 * the location and the reason.
 */
class SettingsErrorsTests {

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			textBlock = """
					"timeoutMs": 4000  | "timeoutMs": "4"    | line 3:15 defaults/timeoutMs: expected an integer, but found "4"
					"timeoutMs": 4000  | "timeoutMs": 1.0    | expected an integer, but found a fractional number
					"timeoutMs": 4000  | "timeoutMs": null   | expected an integer, but found null
					"timeoutMs": 4000  | "timeoutMs": 0      | out of range; expected 1 to 3600000 ms
					"timeoutMs": 4000  | "timeoutMs": 99999999999999999999 | out of range; expected 1 to 3600000 ms
					"timeoutMs": 4000  | "timeOutMS": 4000   | unknown member; did you mean "timeoutMs"?
					"timeoutMs": 4000  | "coldConcurrency": 4 | coldConcurrency is 4, but at most slots, which is 3
					"timeoutMs": 500   | "slots": 9          | cannot be set on a route; set it on the service
					"priority": "critical" | "priority": "CRITICAL" | expected "critical", "normal" or "background", but found "CRITICAL"
					"domain": "west-1" | "domain": "west1"   | unknown failure domain "west1"; did you mean "west-1"?
					"homeRegions": ["west"] | "homeRegions": ["wset"] | homeRegions/0: unknown region; did you mean "west"?
					"homeRegions": ["west"] | "homeRegions": []       | the list is empty; leave the member out to allow all regions
					"homeRegions": ["west"] | "homeRegions": ["north"] | no region in common with [south, west] from defaults/homeRegions line 3
					"homeRegions": ["west", "north"] | "homeRegions": ["north"] | client account "designers" with home regions [north] has no region in common with route services/transfers/routes/POST /transfers line 15 with [west]
					"burst": 7         | "homeRegions": ["south"] | no region in common with [north, west] from accounts/designers/homeRegions line 26
					"10.0.0.3"         | "10.0.0.2"          | duplicate address "10.0.0.2:1"; the first one is services/transfers/servers/transfers-01/port line 20
					"adminPort": 3     | "adminPort": 2      | duplicate address "10.0.0.1:2"
					"10.0.0.3"         | "server.example"    | expected an IPv4 or IPv6 address, but found "server.example"
					"10.0.0.3"         | "010.0.0.3"         | expected an IPv4 or IPv6 address, but found "010.0.0.3"
					"10.0.0.3"         | "0.0.0.0"           | expected an IPv4 or IPv6 address, but found "0.0.0.0"
					, "port": 1        | ``                  | line 20:1 services/transfers/servers/transfers-01: missing member "port"
					"transfers-02"     | "entry-01"          | duplicate entry VM or backend server "entry-01"
					"transfers-02"     | "Transfers_02"      | invalid name
					"transfers-02"     | "transfers-01"      | duplicate member; the first one is in line 20
					"designers-a"      | "designers"         | duplicate client account "designers"
					"north-1"          | "west-1"            | duplicate failure domain "west-1"
					"* /transfers"     | "*  transfers"      | invalid route; expected "METHOD /prefix" or "* /prefix"
					"* /transfers"     | "* /.lovagevale/x"  | paths under /.lovagevale are reserved for the entry process
					"deployment": "mini", | "exchange": { "fenceMs": 1500 }, | fenceMs is 1500 ms, but must be longer than selfReadMs, which is 1500 ms
					"deployment": "mini", | "exchange": { "clockSkewMs": 4800 }, | coldWindowMs is 5000 ms, but must be longer than clockSkewMs and coldMinimumMs together
					"deployment": "mini", | ``               | line 1:1 : missing member "deployment"
					"deployment": "mini", | "deployment": "mini", "platform": {}, | unknown member
					""")
	void errorsNameLocationAndReason(String text, String replacement, String expected) {
		assertThat(errorsOf(MiniTree.with(text, replacement)))
			.anySatisfy((error) -> assertThat(error).contains(expected));
	}

	@Test
	void reportsAllErrorsInDocumentOrder() {
		String content = MiniTree.with("4000", "0").replace("\"weight\": 5", "\"weight\": 0").replace(": 2,", ": 0,");
		assertThat(errorsOf(content)).extracting((error) -> error.split(":")[0])
			.containsExactly("line 3", "line 6", "line 26");
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			{ "a": 1, }     | not valid JSON
			{ 'a': 1 }      | not valid JSON
			{ "a": NaN }    | not valid JSON: Non-standard token 'NaN'
			{ "a": 1       | expected close marker for Object that starts in line 1
			# comment       | not valid JSON
			{ "a": 1 } 2    | nothing may follow the closing brace of the tree
			[]              | the tree must be one JSON object
			{ "a": 01 }     | not valid JSON
			""")
	void rejectsNonStandardJson(String content, String expected) {
		assertThat(errorsOf(content)).singleElement().asString().contains(expected).doesNotContain("\n", "Feature");
	}

	@Test
	void rejectsEmptyText() {
		assertThat(errorsOf("")).singleElement().asString().contains("the tree must be one JSON object");
	}

	@Test
	void enforcesSizeAndDepthLimits() throws SettingsException {
		String largest = MiniTree.TEXT + " ".repeat(TreeParser.MAX_BYTES - MiniTree.TEXT.length());
		assertThat(MiniTree.read(largest).deployment()).isEqualTo("mini");
		assertThat(errorsOf(largest + " ")).singleElement().asString().contains("at most 1048576 are allowed");
		assertThat(errorsOf("{\"a\":".repeat(40_000))).singleElement().asString().contains("nested more than 32");
		assertThat(errorsOf("{\"a\":" + "[".repeat(31) + "]".repeat(31) + "}"))
			.noneMatch((error) -> error.contains("nested"));
	}

	/**
	 * Guards against trees within the size limit that take minutes or gigabytes to read.
	 */
	@Test
	@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
	void maliciousTreesAreRejectedInBoundedTimeAndMemory() {
		String members = IntStream.range(0, 80_000).mapToObj((i) -> "\"" + i + "\":1").collect(Collectors.joining(","));
		String regions = IntStream.range(0, 20_000).mapToObj((i) -> "\"r" + i + "\"").collect(Collectors.joining(","));
		String known = regions.replace("\",", "\":{},") + ":{}";
		List<String> trees = List.of("{\"" + "a".repeat(40_000) + "\":{" + members + "}}", "{" + members + "}",
				"{\"regions\":{" + known + "},\"defaults\":{\"homeRegions\":[" + regions.replace("r", "s") + "]}}",
				"{\"regions\":{" + known + "},\"defaults\":{\"homeRegions\":[" + regions
						+ "]},\"accounts\":{\"a\":{\"homeRegions\":[" + regions + "]}}}");
		for (String tree : trees) {
			List<String> errors = errorsOf(tree);
			assertThat(errors).hasSizeLessThanOrEqualTo(1_001);
			assertThat(errors).allMatch((error) -> error.length() < 1_000);
		}
	}

	static List<String> errorsOf(String content) {
		SettingsException thrown = catchThrowableOfType(SettingsException.class, () -> MiniTree.read(content));
		assertThat(thrown).isNotNull();
		return thrown.errors().stream().map(SettingsError::toString).toList();
	}

}
