package org.lovagevale.node.admin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.VmName;
import org.lovagevale.core.AuditEntry;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.MemberPhase;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.SelectionReason;
import org.lovagevale.core.Status;
import org.lovagevale.core.fleet.WorkPermission;
import org.lovagevale.core.message.MemberEntry;
import org.lovagevale.node.audit.AuditView;
import org.lovagevale.node.audit.RecordedStep;
import reactor.netty.resources.LoopResources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against JSON members and status codes of the admin port that differ from those
 * which {@code lovagevalectl} and operators expect.
 */
class AdminServerTests {

	private static final String SETTINGS = """
			{
				"deployment": "shop",
				"defaults": { "timeoutMs": 700 },
				"regions": { "west": { "domains": { "west-1": { "entryVms": {
					"entry-01": { "host": "127.0.0.1", "callerPort": 1, "peerPort": 2, "adminPort": 3 } } } } } },
				"services": { "sales": {
					"routes": { "GET /sales": { "idempotent": true } },
					"servers": { "sales-01": { "domain": "west-1", "host": "127.0.0.1", "port": 4 } } } }
			}
			""";

	@Test
	void responsesHaveExpectedMembersAndStatusCodes() throws Exception {
		LoopResources loops = LoopResources.create("admin", 1, true);
		AdminServer server = new AdminServer(new FencedAdminSource(), loops);
		int port = server.listen("127.0.0.1", 0);
		try {
			JsonNode status = get(port, "/status", 200);
			assertThat(status.path("vm").asText()).isEqualTo("entry-01");
			assertThat(status.path("members").path(0).path("vm").asText()).isEqualTo("entry-02");
			assertThat(status.path("permission").asText()).isEqualTo("FENCED");
			assertThat(get(port, "/ready", 503).path("ready").asBoolean()).isFalse();
			assertThat(get(port, "/audit", 200).path("completeSince").asLong()).isEqualTo(5);
			JsonNode step = get(port, "/explain/2a", 200).path("steps").path(0);
			assertThat(step.path("server").asText()).isEqualTo("sales-01");
			assertThat(step.path("choice").path("rule").asText()).isEqualTo("lowest-score");
			get(port, "/explain/2b", 404);
			get(port, "/explain/x%20y", 404);
			JsonNode route = get(port, "/effective/services/sales/routes/GET%20/sales", 200);
			assertThat(route.path("values").findValuesAsText("origin")).anyMatch((text) -> text.contains("defaults"));
			assertThat(get(port, "/effective/services/sale", 404).path("message").asText()).contains("sale");
			get(port, "/nothing", 404);
		}
		finally {
			server.close();
			loops.dispose();
		}
	}

	private static JsonNode get(int port, String path, int expectedStatus) throws Exception {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)).build();
		HttpResponse<String> response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
		assertThat(response.statusCode()).as(path).isEqualTo(expectedStatus);
		return new ObjectMapper().readTree(response.body());
	}

	/**
	 * The state of a fenced process that recorded one step of the request 2a
	 * (hexadecimal) and none of any other.
	 */
	private static final class FencedAdminSource implements AdminSource {

		@Override
		public ProcessIdentity self() {
			return new ProcessIdentity(new VmName("entry-01"), new Incarnation(1, 2));
		}

		@Override
		public Status status() {
			return new Status(WorkPermission.FENCED, MemberPhase.LIVE, 3, 4,
					List.of(new MemberEntry("entry-02", "1-2", 1, "LIVE", 0, false)), List.of(), List.of(), 0, 0, 0);
		}

		@Override
		public boolean isReady() {
			return false;
		}

		@Override
		public AuditView audit() {
			return new AuditView(5, 6, List.of(new AuditEntry(7, "settings.adopted", Map.of("version", "3"))));
		}

		@Override
		public Optional<List<RecordedStep>> explain(RequestId id) {
			SelectionReason choice = new SelectionReason("lowest-score", 1, 1, 0.5, Double.NaN);
			return (id.value() == 42)
					? Optional.of(List.of(new RecordedStep(1, "dispatch", 1, "sales", "sales-01", null, null, choice)))
					: Optional.empty();
		}

		@Override
		public Optional<String> settingsContent() {
			return Optional.of(SETTINGS);
		}

		@Override
		public String metrics() {
			return "";
		}

	}

}
