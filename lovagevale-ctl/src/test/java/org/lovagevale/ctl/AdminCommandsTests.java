package org.lovagevale.ctl;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against output that omits members added by a newer process, shows the empty
 * region list of a quarantined request as "none" although it means all regions, or shows
 * the start of the audit trail as epoch milliseconds because its name does not end in
 * "epochMillis". Also guards against failed requests that are reported as success.
 */
class AdminCommandsTests {

	private static final String STATUS = """
			{"phase":"SERVING","settingsVersion":7,"future":true,"suspects":[],
			"members":[{"vm":"entry-01","beat":5},{"vm":"entry-02","beat":12,"added":"x"}],"memory":{"share":1.23456,"high":1e999,"usedBytes":1},
			"trials":[{"regions":[],"servers":[]}]}
			""";

	private static final String AUDIT = """
			{"completeSince":0,"entries":[
			{"epochMillis":1000,"event":"settings.adopted","fields":{"version":"7","note":"a\\u001b[2Jb"}}]}
			""";

	private static DisposableServer server;

	@BeforeAll
	static void start() {
		server = HttpServer.create()
			.host("127.0.0.1")
			.port(0)
			.route((routes) -> routes.get("/status", (in, out) -> out.sendString(Mono.just(STATUS)))
				.get("/audit", (in, out) -> out.sendString(Mono.just(AUDIT)))
				.get("/explain/{id}", (in, out) -> switch (in.uri().substring("/explain/".length())) {
					case "a%20b" -> out.sendString(Mono.just("[1,\"x\"]"));
					case "empty" -> out.send();
					case "broken" -> out.status(500).send();
					case "bare" -> out.status(404).send();
					default -> out.status(404).sendString(Mono.just("{\"message\":\"Ask the other VM.\"}"));
				}))
			.bindNow();
	}

	@AfterAll
	static void stop() {
		server.disposeNow();
	}

	@Test
	void statusShowsEveryMember() {
		assertThat(run("status").out().lines()).containsExactly("phase            SERVING", "settingsVersion  7",
				"future           true", "suspects         none", "", "members:", "  VM        BEAT  ADDED",
				"  entry-01  5     -", "  entry-02  12    x", "", "memory:", "  share      1.235",
				"  high       Infinity", "  usedBytes  1", "", "trials:", "  REGIONS  SERVERS", "  all      none");
	}

	@Test
	void auditShowsTimesAndNoControlCharacters() {
		assertThat(run("audit").out().lines()).containsExactly("completeSince  1970-01-01T00:00:00Z", "", "entries:",
				"  EPOCHMILLIS           EVENT             FIELDS",
				"  1970-01-01T00:00:01Z  settings.adopted  version=7 note=a [2Jb");
	}

	@Test
	void explainEncodesTheRequestId() {
		assertThat(run("explain", "a b").out().lines()).containsExactly("1", "x");
		assertThat(run("explain", "a b", "--output", "json").out()).contains("[ 1, \"x\" ]");
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			unknown    | 1 | responded with status 404: Ask the other VM.
			bare       | 1 | responded with status 404: check the spelling
			empty      | 3 | did not respond with JSON (empty body)
			broken     | 3 | responded with status 500: check that this is its admin address
			""")
	void failedResponsesAreReported(String id, int code, String message) {
		CtlRun run = run("explain", id);
		assertThat(run.code()).isEqualTo(code);
		assertThat(run.err().lines()).singleElement().asString().contains(message);
	}

	@Test
	void unreachableProcessIsReported() {
		DisposableServer closed = HttpServer.create().host("127.0.0.1").port(0).bindNow();
		closed.disposeNow();
		CtlRun run = CtlRun.of("status", "127.0.0.1:" + closed.port());
		assertThat(run.code()).isEqualTo(3);
		assertThat(run.err().lines()).singleElement().asString().contains("does not respond", "check the address");
	}

	private static CtlRun run(String command, String... more) {
		String[] args = new String[more.length + 2];
		args[0] = command;
		args[1] = "127.0.0.1:" + server.port();
		System.arraycopy(more, 0, args, 2, more.length);
		return CtlRun.of(args);
	}

}
