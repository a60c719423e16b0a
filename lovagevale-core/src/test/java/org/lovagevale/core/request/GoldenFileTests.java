package org.lovagevale.core.request;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lovagevale.core.FailureKind;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.RequestHead;
import org.lovagevale.core.ServerState;
import org.lovagevale.core.StoredAnswer;
import org.lovagevale.core.event.ProbeEnded;
import org.lovagevale.core.fleet.WorkPermission;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against unintended changes of behaviour: the recorded events and decisions of
 * each scenario must equal a reviewed file byte for byte.
 *
 * <p>
 * In the files, a line that starts with a time in milliseconds is an event, a line with
 * {@code >} a decision and a line with {@code .} a call to the fleet or the key store. To
 * rewrite the files after an intended change, run the tests with
 * {@code -Dlovagevale.golden.write=true} and review the difference.
 */
class GoldenFileTests {

	private static final RequestHead CRASHING_REQUEST = RequestHarness.requestHead("GET", "/vans/bad", null, null);

	private final SingleServiceSettings settings = new SingleServiceSettings();

	@Test
	void queueAndRetries() throws IOException {
		this.settings.servers = 2;
		this.settings.slots = 1;
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.request(1, "GET", "/vans");
		harness.request(2, "GET", "/vans/archive");
		harness.request(3, "GET", "/vans/archive/old");
		harness.request(4, "GET", "/vans/4");
		harness.clock.advance(8);
		harness.answerHead(1, 1, 200, RequestHarness.WARM_REPORT);
		harness.endAnswer(1, 1, null);
		harness.rejectAttempt(2, 1);
		harness.answerHead(4, 1, 200, RequestHarness.WARM_REPORT);
		harness.disconnectCaller(4);
		harness.answerHead(2, 2, 200, null);
		harness.endAnswer(2, 2, null);
		harness.endAnswer(2, 2, null);
		harness.failAttempt(3, 1, FailureKind.NOT_CONNECTED);
		harness.tickAfter(250);
		assertMatchesGoldenFile("queue-and-retries", harness);
	}

	@Test
	void idempotencyKeys() throws IOException {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.requestWithKey(1, "paid");
		harness.requestWithKey(2, "paid");
		harness.answerHead(1, 1, 201, RequestHarness.WARM_REPORT);
		harness.endAnswer(1, 1, new StoredAnswer(201, "", new byte[0]));
		harness.requestWithKey(3, "paid");
		harness.requestWithKey(4, "lost");
		harness.failAttempt(4, 1, FailureKind.LOST_BEFORE_HEAD);
		harness.requestWithKey(5, "lost");
		harness.fleet.permission = WorkPermission.FENCED;
		harness.requestWithKey(6, "fenced");
		harness.fleet.permission = WorkPermission.OPEN;
		harness.requestWithKey(7, "fenced");
		harness.request(8, RequestHarness.requestHead("POST", "/vans", null, "entry-02.1-1.0.a"));
		harness.tickAfter(1_000);
		assertMatchesGoldenFile("idempotency-keys", harness);
	}

	@Test
	void coldStart() throws IOException {
		this.settings.servers = 1;
		RequestHarness harness = RequestHarness.withUnknownServers(this.settings);
		harness.request(1, "GET", "/vans");
		harness.tickAfter(200);
		harness.fleet.ownedMsByServer.put(SingleServiceSettings.serverName(0), 700L);
		for (int i = 0; i < 4; i++) {
			harness.tickAfter(50);
		}
		harness.apply(new ProbeEnded(this.settings.backendServer(0).name(), RequestHarness.COLD_REPORT));
		for (int id = 2; id <= 4; id++) {
			harness.request(id, "GET", "/vans");
			harness.clock.advance(20);
		}
		harness.answerHead(2, 1, 200, RequestHarness.WARM_REPORT);
		harness.endAnswer(2, 1, null);
		harness.answerHead(3, 1, 200, RequestHarness.WARM_REPORT);
		harness.endAnswer(3, 1, null);
		harness.answerHead(4, 1, 200, new LoadReport(0, 3, ServerState.COLD, "b2"));
		harness.endAnswer(4, 1, null);
		assertMatchesGoldenFile("cold-start", harness);
	}

	@Test
	void crashingRequest() throws IOException {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.fleet.noticesSettled = false;
		harness.request(1, CRASHING_REQUEST, "bad");
		harness.failAttempt(1, 1, FailureKind.LOST_BEFORE_HEAD);
		harness.tickAfter(50);
		harness.fleet.noticesSettled = true;
		harness.tickAfter(50);
		harness.request(2, CRASHING_REQUEST, "bad");
		harness.failAttempt(1, 2, FailureKind.LOST_BEFORE_HEAD);
		harness.request(3, CRASHING_REQUEST, "bad");
		assertMatchesGoldenFile("crashing-request", harness);
	}

	@Test
	void failureDomainLeavesAndReturns() throws IOException {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.request(1, "GET", "/vans");
		harness.request(2, "GET", "/vans");
		this.settings.outOfService.addAll(Set.of(0, 2));
		harness.applySettings(this.settings);
		harness.request(3, "GET", "/vans");
		harness.request(4, RequestHarness.requestHead("GET", "/vans", SingleServiceSettings.NORTH_ACCOUNT, null));
		harness.answerHead(1, 1, 200, RequestHarness.WARM_REPORT);
		harness.endAnswer(1, 1, null);
		harness.failAttempt(2, 1, FailureKind.NOT_CONNECTED);
		this.settings.outOfService.clear();
		harness.applySettings(this.settings);
		harness.request(5, RequestHarness.requestHead("GET", "/vans", SingleServiceSettings.NORTH_ACCOUNT, null));
		harness.fleet.ownedMsByServer.put(SingleServiceSettings.serverName(2), 4_000L);
		harness.tickAfter(50);
		harness.tickAfter(150);
		assertMatchesGoldenFile("failure-domain-leaves-and-returns", harness);
	}

	private static void assertMatchesGoldenFile(String name, RequestHarness harness) throws IOException {
		Path file = Path.of(System.getProperty("lovagevale.root"), "lovagevale-core/src/test/resources/golden",
				name + ".txt");
		String text = String.join("\n", harness.lines) + "\n";
		if (Boolean.getBoolean("lovagevale.golden.write")) {
			Files.createDirectories(file.getParent());
			Files.writeString(file, text, StandardCharsets.UTF_8);
		}
		assertThat(text).isEqualTo(Files.readString(file, StandardCharsets.UTF_8));
	}

}
