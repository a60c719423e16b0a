package org.lovagevale.standins.platform;

import java.time.Duration;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.netty.http.client.HttpClient;
import reactor.util.function.Tuple2;
import reactor.util.function.Tuples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a platform stand-in that completes watches late, does not enforce its
 * rate limit or does not serve stale versions. It would hide faults of the client that
 * reads the settings.
 */
class PlatformStandInTests {

	private static final Duration LIMIT = Duration.ofSeconds(10);

	private final PlatformStandIn platform = new PlatformStandIn();

	private final String base = "http://127.0.0.1:" + this.platform.start("127.0.0.1", 0);

	@AfterEach
	void close() {
		this.platform.close();
	}

	@Test
	void completesWatchAsSoonAsNewerVersionIsPublished() {
		this.platform.publish("one");
		Thread.ofVirtual().start(() -> {
			while (this.platform.count(PlatformCounter.WATCHES) == 0) {
				Thread.onSpinWait();
			}
			this.platform.publish("two");
		});
		long begin = System.nanoTime();
		assertThat(read("/settings?after=1&waitMs=8000")).isEqualTo("200 2 two");
		assertThat(Duration.ofNanos(System.nanoTime() - begin)).isLessThan(Duration.ofSeconds(4));
	}

	@Test
	void answersWatchWithoutNewerVersionWithNotModified() {
		this.platform.publish("one");
		long begin = System.nanoTime();
		assertThat(read("/settings?after=1&waitMs=200")).startsWith("304");
		assertThat(Duration.ofNanos(System.nanoTime() - begin)).isGreaterThan(Duration.ofMillis(190));
		assertThat(this.platform.count(PlatformCounter.SETTINGS_READS)).isEqualTo(1);
	}

	@Test
	void servesStaleVersionOnlyForItsDuration() throws InterruptedException {
		this.platform.publish("one");
		this.platform.publish("two");
		this.platform.settings().serveStale(1, 300);
		assertThat(read("/settings?after=0&waitMs=0")).isEqualTo("200 1 one");
		assertThat(read("/settings?after=1&waitMs=0")).startsWith("304");
		Thread.sleep(400);
		assertThat(read("/settings?after=1&waitMs=0")).isEqualTo("200 2 two");
	}

	@Test
	void rejectsReadsOverRateLimit() {
		this.platform.publish("one");
		this.platform.setReadsPerSecond(0);
		assertThat(read("/settings?after=0&waitMs=0")).startsWith("429");
		assertThat(this.platform.count(PlatformCounter.THROTTLED)).isEqualTo(1);
	}

	@Test
	void rejectsReadsOfSettingsAndVmsDuringOutage() {
		this.platform.publish("one");
		this.platform.setOutage(OutageMode.ERROR);
		assertThat(read("/settings?after=0&waitMs=0")).startsWith("503");
		assertThat(read("/vms")).startsWith("503");
		this.platform.setOutage(OutageMode.NONE);
		assertThat(read("/settings?after=0&waitMs=0")).startsWith("200");
	}

	@Test
	void showsChangesInVmListAfterLag() throws InterruptedException {
		this.platform.publish("{\"regions\":{\"r\":{\"domains\":{\"d\":{\"entryVms\":{\"entry-01\":{}}}}}}} // end");
		this.platform.vms().setLagMs(300);
		this.platform.vms().setState("entry-01", VmState.LEAVING);
		assertThat(read("/vms")).contains("entry-01").contains("live");
		Thread.sleep(400);
		assertThat(read("/vms")).contains("entry-01").contains("leaving");
	}

	private String read(String path) {
		Tuple2<String, String> response = HttpClient.create()
			.get()
			.uri(this.base + path)
			.responseSingle((head, body) -> body.asString()
				.defaultIfEmpty("")
				.map((text) -> Tuples
					.of(head.status().code() + " " + head.responseHeaders().get("Settings-Version", "-") + " ", text)))
			.blockOptional(LIMIT)
			.orElseThrow();
		return response.getT1() + response.getT2();
	}

}
