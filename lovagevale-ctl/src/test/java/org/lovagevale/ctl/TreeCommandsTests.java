package org.lovagevale.ctl;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against exit code 0 for an invalid tree, which a script would then publish, and
 * against messages that do not tell the operator what to do.
 */
class TreeCommandsTests {

	private static final Path DEMO = Path.of(System.getProperty("lovagevale.root", ".."),
			"examples/demo/settings.jsonc");

	@TempDir
	private Path directory;

	private String validTree = "";

	private String invalidTree = "";

	private String domainOutTree = "";

	@BeforeEach
	void writeTrees() throws IOException {
		String content = Files.readString(DEMO);
		this.validTree = write("good.jsonc", content);
		this.invalidTree = write("bad.jsonc", content.replace("\"port\": 18201", "\"prt\": 18201"));
		this.domainOutTree = write("out.jsonc", content.replace("\"west-1\": {", "\"west-1\": { \"out\": true,"));
	}

	@Test
	void checkAcceptsACorrectTree() {
		CtlRun run = CtlRun.of("check", this.validTree);
		assertThat(run.code()).isZero();
		assertThat(run.out()).contains("6 failure domains, 3 entry VMs, 3 services, 9 backend servers");
		assertThat(run.err()).isEmpty();
	}

	@Test
	void checkListsEveryErrorWithItsLocation() throws IOException {
		CtlRun run = CtlRun.of("check", this.invalidTree);
		assertThat(run.code()).isEqualTo(1);
		assertThat(run.out().lines()).hasSize(2)
			.anyMatch((line) -> line.matches(".*bad.jsonc:\\d+:\\d+: services/balances/servers/balances-01/prt: .*"));
		assertThat(run.err().lines()).singleElement().asString().contains("2 errors", "correct them");
		JsonNode json = Printer.MAPPER.readTree(CtlRun.of("check", "--output", "json", this.invalidTree).out());
		assertThat(json.path("correct").asBoolean(true)).isFalse();
		assertThat(json.path("errors")).hasSize(2).allMatch((error) -> error.path("line").asInt() > 0);
	}

	@Test
	void showListsNameValueAndOriginOfEachSetting() throws IOException {
		CtlRun run = CtlRun.of("show", this.validTree, "services/transfers/routes/POST /transfers");
		assertThat(run.code()).isZero();
		assertThat(run.out().lines())
			.anyMatch((line) -> line.matches("priority +critical +services/transfers/policy/priority line \\d+"));
		JsonNode json = Printer.MAPPER.readTree(CtlRun.of("show", this.validTree, "regions", "--output=JSON").out());
		assertThat(json.path("values")).isEmpty();
		assertThat(json.path("below")).isNotEmpty();
	}

	@Test
	void diffListsChangesAndAffectedServices() throws IOException {
		CtlRun run = CtlRun.of("diff", this.validTree, this.domainOutTree);
		assertThat(run.code()).isZero();
		assertThat(run.out().lines()).containsExactly("failure domain west-1: out (touches balances, documents)",
				"services touched: balances, documents");
		assertThat(CtlRun.of("diff", this.validTree, this.validTree).out())
			.isEqualTo(String.format("no differences%n"));
		JsonNode json = Printer.MAPPER
			.readTree(CtlRun.of("diff", this.domainOutTree, this.validTree, "--output", "json").out());
		assertThat(json.at("/changes/0/kind").asText()).isEqualTo("back");
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			show BAD                 | 1 | not correct (2 errors); see lovagevalectl check
			diff GOOD BAD            | 1 | not correct (2 errors); see lovagevalectl check
			check LATIN              | 1 | is not UTF-8; save it as UTF-8
			show GOOD services/balance | 2 | did you mean "services/balances"?
			''                       | 2 | no command given; see lovagevalectl --help
			chek GOOD                | 2 | did you mean check?
			check                    | 2 | See lovagevalectl check --help
			check GOOD --output xml  | 2 | See lovagevalectl check --help
			status 127.0.0.1         | 2 | expected HOST:PORT
			status 127.0.0.1:70000   | 2 | expected HOST:PORT
			status ::1:80            | 2 | expected HOST:PORT
			check GOOD.missing       | 3 | does not exist; check the path
			""")
	void failuresExitWithOneLineThatSaysWhatToDo(String arguments, int code, String message) throws IOException {
		Path latin = Files.write(this.directory.resolve("latin"), "\u00e9".getBytes(StandardCharsets.ISO_8859_1));
		String line = arguments.replace("GOOD", this.validTree)
			.replace("BAD", this.invalidTree)
			.replace("LATIN", latin.toString());
		CtlRun run = CtlRun.of(line.isEmpty() ? new String[0] : line.split(" "));
		assertThat(run.code()).isEqualTo(code);
		assertThat(run.err().lines()).singleElement().asString().startsWith("lovagevalectl: ").contains(message);
		assertThat(run.out()).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "--help", "--version", "check --help", "explain --version" })
	void helpAndVersionSucceed(String arguments) {
		CtlRun run = CtlRun.of(arguments.split(" "));
		assertThat(run.code()).isZero();
		assertThat(run.out()).contains("lovagevalectl");
	}

	private String write(String name, String content) throws IOException {
		return Files.writeString(this.directory.resolve(name), content).toString();
	}

}
