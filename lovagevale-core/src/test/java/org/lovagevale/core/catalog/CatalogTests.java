package org.lovagevale.core.catalog;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class CatalogTests {

	private static final RequestLimits LIMITS = new RequestLimits(1_000, 1_000, 1_000, 1_000);

	private final Catalog catalog = new Catalog(CatalogTests::decode);

	// Values are "version N", "server START REPORT STATE" or "out"; others are unusable.
	private static CatalogItem decode(PublishedItem item) {
		String[] words = item.value().split(" ");
		return switch (words[0]) {
			case "version" -> new CatalogItem.PublishedConfiguration(
					new ServingConfiguration(Long.parseLong(words[1]), RouteTable.of(List.of()), Map.of(), LIMITS));
			case "server" -> new CatalogItem.ListedServer(new BackendInstance(new ServerName(item.key()),
					new ServiceName("s"), "127.0.0.1", 1, new FailureDomain("d"), new Region("r"), 3,
					words[3].equals("draining"), 0, Long.parseLong(words[1])), Long.parseLong(words[2]));
			case "out" -> new CatalogItem.EvacuatedDomain(new FailureDomain(item.key()));
			default -> new CatalogItem.Unusable("test");
		};
	}

	private static PublishedItem item(String key, long revision, String value) {
		return new PublishedItem(key, revision, value);
	}

	private long version() {
		ServingConfiguration configuration = this.catalog.configuration();
		return (configuration != null) ? configuration.version() : 0;
	}

	@Test
	void olderStateIsIgnored() {
		this.catalog.replace(List.of(item("c", 5, "version 2")), 5, 100);
		assertThat(this.catalog.replace(List.of(item("c", 3, "version 1")), 3, 200)).isEqualTo(CatalogChange.NONE);
		assertThat(version()).isEqualTo(2);
	}

	@Test
	void configurationNeverReverts() {
		this.catalog.replace(List.of(item("c", 5, "version 7")), 5, 100);
		this.catalog.replace(List.of(item("c", 6, "version 6")), 6, 200);
		assertThat(version()).isEqualTo(7);
	}

	// Guards against processes without a configuration that start while the published one
	// is unusable.
	@Test
	void formerConfigurationIsPassedOnWhileThePublishedOneIsUnusable() {
		this.catalog.replace(List.of(item("c", 5, "version 7")), 5, 100);
		this.catalog.replace(List.of(item("c", 6, "broken")), 6, 200);
		assertThat(version()).isEqualTo(7);
		Catalog empty = new Catalog(CatalogTests::decode);
		empty.replace(List.copyOf(this.catalog.items()), 6, 300);
		assertThat(empty.configuration()).isNotNull();
		Catalog started = new Catalog(CatalogTests::decode);
		started.replace(List.of(item("c", 6, "broken")), 6, 300);
		assertThat(started.mayLackConfiguration()).isTrue();
		started.replace(List.copyOf(this.catalog.items()), 6, 300);
		assertThat(started.configuration()).isNotNull();
		assertThat(started.mayLackConfiguration()).isFalse();
		started.replace(List.of(item("c", 8, "version 8")), 8, 400);
		assertThat(started.items()).containsExactly(item("c", 8, "version 8"));
	}

	@Test
	void outdatedReportOfAServerIsIgnored() {
		this.catalog.replace(List.of(item("s", 1, "server 1000 1 ready")), 1, 0);
		this.catalog.replace(List.of(item("s", 2, "server 1000 5 draining")), 2, 10);
		this.catalog.replace(List.of(item("s", 3, "server 1000 4 ready")), 3, 20);
		assertThat(this.catalog.servers().get(new ServerName("s")).draining()).isTrue();
		this.catalog.replace(List.of(item("s", 4, "server 2000 1 ready")), 4, 30);
		assertThat(this.catalog.servers().get(new ServerName("s")).draining()).isFalse();
		this.catalog.replace(List.of(item("s", 5, "server 1000 6 draining")), 5, 40);
		assertThat(this.catalog.servers().get(new ServerName("s")).draining()).isFalse();
	}

	private @Nullable BackendInstance server() {
		return this.catalog.servers().get(new ServerName("s"));
	}

	private void report(long revision, String value) {
		this.catalog.replace(List.of(item("s", revision, value)), revision, revision * 10);
	}

	// Guards against an entry whose figures hide all later reports of the server.
	@Test
	void reportsAfterAnEntryWithAStartInTheFutureStand() {
		report(1, "server 1000 1 ready");
		report(2, "server 4102444799999 3 ready");
		report(3, "server 1000 2 ready");
		report(4, "server 1000 3 ready");
		report(5, "server 1000 4 draining");
		assertThat(server()).isNotNull().matches(BackendInstance::draining);
		report(6, "server 2000 1 ready");
		assertThat(server()).isNotNull().matches((server) -> !server.draining());
	}

	@Test
	void reportsAfterAnEntryWithATooLargeNumberStand() {
		report(1, "server 1000 1 ready");
		report(2, "server 1000 999999999999 ready");
		report(3, "server 1000 2 draining");
		assertThat(server()).isNotNull().matches(BackendInstance::draining);
	}

	@Test
	void lateReportsDoNotRevertThatAServerIsDraining() {
		report(1, "server 1000 5 draining");
		report(2, "server 1000 3 ready");
		report(3, "server 1000 4 ready");
		assertThat(server()).isNotNull().matches(BackendInstance::draining);
	}

	// Guards against an order of reports that is forgotten after an unusable entry.
	@Test
	void outdatedReportAfterAnUnusableEntryIsIgnored() {
		report(1, "server 1000 5 draining");
		report(2, "unusable");
		assertThat(server()).isNull();
		report(3, "server 1000 4 ready");
		assertThat(server()).isNull();
		report(4, "server 1000 6 draining");
		assertThat(server()).isNotNull().matches(BackendInstance::draining);
	}

	// Guards against followers that ignore a report for longer than its reader.
	@Test
	void ignoredReportIsPassedOn() {
		report(1, "server 1000 1 ready");
		report(2, "server 9000 1 ready");
		CatalogChange change = this.catalog.replace(List.of(item("s", 3, "server 1000 2 ready")), 3, 30);
		assertThat(change.changed()).hasSize(1);
	}

	@Test
	void reportWithoutNewContentIsNoChange() {
		this.catalog.replace(List.of(item("s", 1, "server 1000 1 ready")), 1, 0);
		assertThat(this.catalog.replace(List.of(item("s", 2, "server 1000 2 ready")), 2, 10).isEmpty()).isTrue();
	}

	// Guards against dropping live servers that were unregistered during an outage of the
	// platform.
	@Test
	void serversMissingAfterOutageAreKeptUntilTheyCanRegisterAgain() {
		this.catalog.replace(List.of(item("s", 1, "server 1 1 ready"), item("z", 1, "out")), 1, 0);
		long back = Catalog.OUTAGE_THRESHOLD_MS + 1;
		this.catalog.replace(List.of(), 2, back);
		assertThat(this.catalog.servers()).hasSize(1);
		assertThat(this.catalog.evacuated()).isEmpty();
		this.catalog.replace(List.of(), 3, back + Catalog.REREGISTRATION_MS);
		assertThat(this.catalog.servers()).isEmpty();
	}

	@Test
	void serversMissingWithoutOutageAreRemovedImmediately() {
		this.catalog.replace(List.of(item("s", 1, "server 1 1 ready")), 1, 0);
		this.catalog.replace(List.of(), 2, 700);
		assertThat(this.catalog.servers()).isEmpty();
	}

	@Test
	void changeRequiresItsBaseRevision() {
		this.catalog.replace(List.of(item("c", 5, "version 1")), 5, 0);
		CatalogChange change = new CatalogChange(List.of(item("c", 8, "version 2")), List.of());
		assertThat(this.catalog.applyChange(7, change, Observation.ofRead(8, 10, 10))).isNull();
		assertThat(version()).isEqualTo(1);
		assertThat(this.catalog.applyChange(5, change, Observation.ofRead(8, 10, 10))).isNotNull();
		assertThat(version()).isEqualTo(2);
	}

	@Test
	void ageCountsFromObservation() {
		assertThat(this.catalog.ageMs(50)).isEqualTo(Long.MAX_VALUE);
		this.catalog.replace(List.of(), 1, 100);
		assertThat(this.catalog.ageMs(350)).isEqualTo(250);
	}

	private void read(long era, long revision, long observedAt, PublishedItem... state) {
		List<PublishedItem> items = Stream.of(state)
			.map((item) -> item(item.key(), CatalogRevision.of(era, item.revision()), item.value()))
			.toList();
		this.catalog.replace(items, CatalogRevision.of(era, revision), observedAt);
	}

	// Guards against a catalog that stays as it was until a restored store has given out
	// as
	// many revisions as before.
	@Test
	void stateOfARestoredStoreWithALowerRevisionIsTaken() {
		read(0, 100, 0, item("c", 90, "version 5"), item("s", 100, "server 1000 9 ready"));
		read(1, 40, 700, item("c", 30, "version 4"), item("s", 40, "server 1000 8 ready"));
		read(1, 42, 1_400, item("c", 41, "version 6"), item("s", 42, "server 1000 10 draining"));
		assertThat(version()).isEqualTo(6);
		assertThat(server().draining()).isTrue();
		assertThat(this.catalog.ageMs(1_400)).isZero();
	}

	@Test
	void configurationDoesNotRevertWhenTheStoreIsRestored() {
		read(0, 100, 0, item("c", 90, "version 5"));
		read(1, 40, 700, item("c", 30, "version 4"));
		assertThat(version()).isEqualTo(5);
	}

	@Test
	void drainingServerStaysSoWhenTheStoreIsRestored() {
		read(0, 100, 0, item("s", 100, "server 1000 9 draining"));
		read(1, 40, 700, item("s", 40, "server 1000 6 ready"));
		assertThat(server().draining()).isTrue();
	}

	@Test
	void serverThatHadLeftIsNotListedAgainWhenTheStoreIsRestored() {
		read(0, 100, 0, item("s", 99, "server 1000 9 ready"));
		read(0, 101, 700);
		read(1, 40, 1_400, item("s", 40, "server 1000 9 ready"));
		assertThat(server()).isNull();
		read(1, 41, 2_100, item("s", 41, "server 1000 10 ready"));
		assertThat(server()).isNotNull();
	}

	@Test
	void serverThatARestoredStoreHasLostIsKeptUntilItCanRegisterAgain() {
		read(0, 100, 0, item("s", 99, "server 1000 9 ready"));
		read(1, 40, 700);
		assertThat(server()).isNotNull();
		read(1, 41, 700 + Catalog.REREGISTRATION_MS);
		assertThat(server()).isNull();
	}

	@Test
	void evacuationThatARestoredStoreHasLostIsKeptUntilItCanBePublishedAgain() {
		read(0, 100, 0, item("e", 99, "out"));
		read(1, 40, 700);
		assertThat(this.catalog.evacuated()).isNotEmpty();
		read(1, 41, 700 + Catalog.REPUBLICATION_MS);
		assertThat(this.catalog.evacuated()).isEmpty();
	}

	@Test
	void changeOfARestoredStoreIsAppliedToTheStateBefore() {
		read(0, 100, 0, item("s", 99, "server 1000 9 ready"));
		CatalogChange change = new CatalogChange(
				List.of(item("s", CatalogRevision.of(1, 41), "server 1000 10 draining")), List.of());
		long restored = CatalogRevision.of(1, 41);
		this.catalog.applyChange(CatalogRevision.of(0, 100), change, Observation.ofRead(restored, 700, 700));
		assertThat(server().draining()).isTrue();
		assertThat(this.catalog.applyChange(CatalogRevision.of(2, 3), CatalogChange.NONE,
				Observation.ofRead(CatalogRevision.of(2, 5), 800, 800)))
			.isNull();
	}

	@Test
	void revisionsOutOfRangeAreRejected() {
		assertThat(CatalogRevision.of(-1L >>> 1, CatalogRevision.MAX_REVISION)).isEqualTo(Long.MAX_VALUE);
		assertThatIllegalArgumentException().isThrownBy(() -> CatalogRevision.of(0, CatalogRevision.MAX_REVISION + 1));
		assertThatIllegalArgumentException().isThrownBy(() -> CatalogRevision.of(0, -1));
		assertThatIllegalArgumentException().isThrownBy(() -> CatalogRevision.of(-1, 0));
	}

	// Guards against a store that cannot be read because its eras begin with a large
	// number.
	@Test
	void erasMayBeginWithALargeNumber() {
		long era = 1_765_000_000;
		read(era, 100, 0, item("c", 90, "version 5"));
		read(era + 1, 40, 700, item("c", 40, "version 6"));
		assertThat(version()).isEqualTo(6);
	}

}
