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
 * Guards against unnoticed changes of behaviour: each session must produce the reviewed
 * decisions byte for byte.
 *
 * <p>
 * In the files, a line with a time is an event, a line with {@code >} a decision and a
 * line with {@code .} a call to the fleet or the key store. To rewrite the files after an
 * intended change, run the tests with {@code -Dlovagevale.golden.write=true} and review
 * the difference.
 */
class GoldenSessionTests {

	private static final RequestHead BAD = Session.head("GET", "/vans/bad", null, null);

	private final TestSettings settings = new TestSettings();

	@Test
	void queueAndRetries() throws IOException {
		this.settings.servers = 2;
		this.settings.slots = 1;
		Session session = Session.warm(this.settings);
		session.request(1, "GET", "/vans");
		session.request(2, "GET", "/vans/archive");
		session.request(3, "GET", "/vans/archive/old");
		session.request(4, "GET", "/vans/4");
		session.clock.advance(8);
		session.answer(1, 1, 200, Session.WARM);
		session.end(1, 1, null);
		session.shed(2, 1);
		session.answer(4, 1, 200, Session.WARM);
		session.callerGone(4);
		session.answer(2, 2, 200, null);
		session.end(2, 2, null);
		session.end(2, 2, null);
		session.fail(3, 1, FailureKind.NOT_CONNECTED);
		session.tickAfter(250);
		check("queue-and-retries", session);
	}

	@Test
	void idempotencyKeys() throws IOException {
		Session session = Session.warm(this.settings);
		session.requestWithKey(1, "paid");
		session.requestWithKey(2, "paid");
		session.answer(1, 1, 201, Session.WARM);
		session.end(1, 1, new StoredAnswer(201, "", new byte[0]));
		session.requestWithKey(3, "paid");
		session.requestWithKey(4, "lost");
		session.fail(4, 1, FailureKind.LOST_BEFORE_HEAD);
		session.requestWithKey(5, "lost");
		session.fleet.permission = WorkPermission.FENCED;
		session.requestWithKey(6, "fenced");
		session.fleet.permission = WorkPermission.OPEN;
		session.requestWithKey(7, "fenced");
		session.request(8, Session.head("POST", "/vans", null, "entry-02.1-1.0.a"));
		session.tickAfter(1_000);
		check("idempotency-keys", session);
	}

	@Test
	void coldStart() throws IOException {
		this.settings.servers = 1;
		Session session = Session.cold(this.settings);
		session.request(1, "GET", "/vans");
		session.tickAfter(200);
		session.fleet.ownedMs.put(TestSettings.server(0), 700L);
		for (int i = 0; i < 4; i++) {
			session.tickAfter(50);
		}
		session.apply(new ProbeEnded(this.settings.definition(0).name(), Session.COLD));
		for (int id = 2; id <= 4; id++) {
			session.request(id, "GET", "/vans");
			session.clock.advance(20);
		}
		session.answer(2, 1, 200, Session.WARM);
		session.end(2, 1, null);
		session.answer(3, 1, 200, Session.WARM);
		session.end(3, 1, null);
		session.answer(4, 1, 200, new LoadReport(0, 3, ServerState.COLD, "b2"));
		session.end(4, 1, null);
		check("cold-start", session);
	}

	@Test
	void crashingRequest() throws IOException {
		Session session = Session.warm(this.settings);
		session.fleet.noticesSettled = false;
		session.request(1, BAD, "bad");
		session.fail(1, 1, FailureKind.LOST_BEFORE_HEAD);
		session.tickAfter(50);
		session.fleet.noticesSettled = true;
		session.tickAfter(50);
		session.request(2, BAD, "bad");
		session.fail(1, 2, FailureKind.LOST_BEFORE_HEAD);
		session.request(3, BAD, "bad");
		check("crashing-request", session);
	}

	@Test
	void failureDomainLeavesAndReturns() throws IOException {
		Session session = Session.warm(this.settings);
		session.request(1, "GET", "/vans");
		session.request(2, "GET", "/vans");
		this.settings.out.addAll(Set.of(0, 2));
		session.applySettings(this.settings);
		session.request(3, "GET", "/vans");
		session.request(4, Session.head("GET", "/vans", TestSettings.LOCAL, null));
		session.answer(1, 1, 200, Session.WARM);
		session.end(1, 1, null);
		session.fail(2, 1, FailureKind.NOT_CONNECTED);
		this.settings.out.clear();
		session.applySettings(this.settings);
		session.request(5, Session.head("GET", "/vans", TestSettings.LOCAL, null));
		session.fleet.ownedMs.put(TestSettings.server(2), 4_000L);
		session.tickAfter(50);
		session.tickAfter(150);
		check("failure-domain-leaves-and-returns", session);
	}

	private static void check(String name, Session session) throws IOException {
		Path file = Path.of(System.getProperty("lovagevale.root"), "lovagevale-core/src/test/resources/golden",
				name + ".txt");
		String text = String.join("\n", session.lines) + "\n";
		if (Boolean.getBoolean("lovagevale.golden.write")) {
			Files.createDirectories(file.getParent());
			Files.writeString(file, text, StandardCharsets.UTF_8);
		}
		assertThat(text).isEqualTo(Files.readString(file, StandardCharsets.UTF_8));
	}

}
