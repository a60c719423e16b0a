package org.lovagevale.node.wiring;

import java.net.URI;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.ManualClock;
import org.lovagevale.core.AuditEntry;
import org.lovagevale.core.decision.ReadSettings;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.SettingsConfirmed;
import org.lovagevale.core.event.SettingsReceived;
import org.lovagevale.core.event.SettingsUnavailable;
import org.lovagevale.core.message.SettingsBody;
import org.lovagevale.platform.PlatformClient;
import org.lovagevale.settings.SettingsError;
import org.lovagevale.settings.SettingsException;
import org.lovagevale.settings.SettingsReader;
import org.lovagevale.settings.model.AddressSettings;
import org.lovagevale.settings.model.ExchangeSettings;
import org.lovagevale.settings.model.KeySettings;
import org.lovagevale.settings.model.MeasuringSettings;
import org.lovagevale.settings.model.QuarantineSettings;
import org.lovagevale.settings.model.Settings;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against reads that yield no event for the decision logic, against invalid
 * settings trees that reach it, and against downloading a rejected tree again.
 */
class SettingsLoaderTests {

	/**
	 * The next responses of the platform: status, version and settings tree, separated by
	 * spaces.
	 */
	private final Queue<String> responses = new ArrayDeque<>();

	private final List<String> requestUris = new CopyOnWriteArrayList<>();

	private final List<Event> events = new CopyOnWriteArrayList<>();

	private final List<AuditEntry> auditEntries = new CopyOnWriteArrayList<>();

	private final DisposableServer platform = HttpServer.create().host("127.0.0.1").port(0).handle((request, out) -> {
		this.requestUris.add(request.uri());
		String[] response = this.responses.remove().split(" ", 3);
		out.status(Integer.parseInt(response[0])).header("Settings-Version", response[1]);
		return response[2].isEmpty() ? out.send() : out.sendString(Mono.just(response[2]));
	}).bindNow();

	private final SettingsReader reader = (version, content) -> {
		if (content.contains("bad")) {
			throw new SettingsException(
					List.of(new SettingsError("a", 1, 2, "first"), new SettingsError("b", 3, 4, "second")));
		}
		return new Settings(version, "shop", List.of(), List.of(), List.of(), List.of(), ExchangeSettings.defaults(),
				KeySettings.defaults(), QuarantineSettings.defaults(), MeasuringSettings.defaults(),
				AddressSettings.defaults());
	};

	private final SettingsLoader loader = new SettingsLoader(this.reader,
			new PlatformClient(URI.create("http://127.0.0.1:" + this.platform.port())), Runnable::run,
			new ManualClock(0, 100), this.events::add, this.auditEntries::add);

	@AfterEach
	void close() {
		this.platform.disposeNow();
	}

	@Test
	void everyReadYieldsExactlyOneEvent() {
		read(0, "200 5 good");
		assertThat(this.events).hasSize(1).first().isInstanceOfSatisfying(SettingsReceived.class, (event) -> {
			assertThat(event.settings().version()).isEqualTo(5);
			assertThat(event.content()).isEqualTo("good");
			assertThat(event.fromPlatform()).isTrue();
		});
		assertThat(this.loader.content(5)).contains("good");
		read(5, "304 5 ");
		assertThat(this.events).hasSize(2).last().isEqualTo(new SettingsConfirmed(5));
		read(5, "429 5 ");
		assertThat(this.events).hasSize(3).last().isInstanceOf(SettingsUnavailable.class);
	}

	@Test
	void rejectedTreeIsReportedOnceAndNotReadAgain() {
		read(5, "200 6 bad");
		assertThat(this.events).containsExactly(new SettingsConfirmed(5));
		assertThat(this.auditEntries).singleElement().satisfies((entry) -> {
			assertThat(entry.event()).isEqualTo("settings.rejected");
			assertThat(entry.fields().get("errors")).contains("line 1:2 a: first", "line 3:4 b: second");
		});
		read(5, "304 6 ");
		assertThat(this.requestUris).last().asString().contains("after=6");
		assertThat(this.events).containsExactly(new SettingsConfirmed(5), new SettingsConfirmed(5));
		read(5, "200 7 good");
		assertThat(this.events).last().isInstanceOf(SettingsReceived.class);
	}

	@Test
	void treeFromAPeerIsValidated() {
		this.loader.receive(new SettingsBody(6, 0, "bad"));
		assertThat(this.events).isEmpty();
		this.loader.receive(new SettingsBody(7, 0, "good"));
		assertThat(this.events).singleElement()
			.isInstanceOfSatisfying(SettingsReceived.class, (event) -> assertThat(event.fromPlatform()).isFalse());
	}

	// Returns when the read has yielded an event, or after at least 5 seconds without
	// one.
	private void read(long afterVersion, String response) {
		int previousCount = this.events.size();
		this.responses.add(response);
		this.loader.read(new ReadSettings(afterVersion, 0));
		for (int i = 0; i < 500 && this.events.size() == previousCount; i++) {
			try {
				Thread.sleep(10);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

}
