package org.lovagevale.core.catalog;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.core.message.CatalogNews;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against items that stay after they were removed from the store, and against live
 * servers that are dropped because their entries expired.
 */
class CatalogRetentionTests {

	private static final long CUT_MS = 5_500;

	private final Catalog cutOff = new Catalog(CatalogRetentionTests::decode);

	private final Catalog connected = new Catalog(CatalogRetentionTests::decode);

	private static CatalogItem decode(PublishedItem item) {
		if (item.value().equals("out")) {
			return new CatalogItem.EvacuatedDomain(new FailureDomain(item.key()));
		}
		return new CatalogItem.ListedServer(new BackendInstance(new ServerName(item.key()), new ServiceName("s"),
				"127.0.0.1", 1, new FailureDomain("d"), new Region("r"), 3, false, 0, 1_000),
				Long.parseLong(item.value()));
	}

	private static PublishedItem item(String key, long revision, String value) {
		return new PublishedItem(key, revision, value);
	}

	private static void read(Catalog catalog, long asOf, long at, PublishedItem... items) {
		catalog.replace(List.of(items), asOf, at);
	}

	private static List<String> names(Catalog catalog) {
		return catalog.servers().keySet().stream().map(ServerName::value).sorted().toList();
	}

	// The state of a process that was cut off while "b" left and another process read the
	// store.
	private void cutOffWhileAServerLeaves() {
		read(this.cutOff, 10, 0, item("a", 8, "1"), item("b", 9, "1"));
		for (long at = 0; at <= CUT_MS; at += 500) {
			read(this.connected, (at < 1_000) ? 10 : 11, at, (at < 1_000) ? both() : onlyA());
		}
	}

	private static PublishedItem[] both() {
		return new PublishedItem[] { item("a", 8, "1"), item("b", 9, "1") };
	}

	private static PublishedItem[] onlyA() {
		return new PublishedItem[] { item("a", 8, "1") };
	}

	@Test
	void serverThatLeftIsDroppedAtOnceIfAnotherProcessReadTheStoreMeanwhile() {
		cutOffWhileAServerLeaves();
		CatalogNews.ofState(this.connected, CUT_MS).applyTo(this.cutOff, CUT_MS, true);
		assertThat(names(this.cutOff)).containsExactly("a");
	}

	@Test
	void serverThatLeftIsDroppedByAConfirmationAfterTheOwnRead() {
		cutOffWhileAServerLeaves();
		read(this.cutOff, 11, CUT_MS, onlyA());
		assertThat(names(this.cutOff)).containsExactly("a", "b");
		CatalogNews news = CatalogNews.ofChange(this.connected, 11, CatalogChange.NONE, CUT_MS + 20);
		assertThat(news.applyTo(this.cutOff, CUT_MS + 20, true)).isNotNull()
			.extracting(CatalogChange::removed)
			.isEqualTo(List.of("b"));
		assertThat(names(this.cutOff)).containsExactly("a");
	}

	@Test
	void retainedServerGoesAtItsDeadlineWithoutAnyMessage() {
		cutOffWhileAServerLeaves();
		read(this.cutOff, 11, CUT_MS, onlyA());
		long deadline = CUT_MS + Catalog.REREGISTRATION_MS;
		assertThat(this.cutOff.removeExpired(deadline - 1, true).isEmpty()).isTrue();
		assertThat(this.cutOff.removeExpired(deadline, true).removed()).containsExactly("b");
		assertThat(names(this.cutOff)).containsExactly("a");
	}

	@Test
	void retainedServerStaysWhileTheStoreIsAwayAgain() {
		cutOffWhileAServerLeaves();
		read(this.cutOff, 11, CUT_MS, onlyA());
		assertThat(this.cutOff.removeExpired(CUT_MS + 10_000, false).isEmpty()).isTrue();
		read(this.cutOff, 11, CUT_MS + 10_000, onlyA());
		assertThat(names(this.cutOff)).containsExactly("a", "b");
	}

	@Test
	void furtherReadsDoNotMoveTheDeadline() {
		cutOffWhileAServerLeaves();
		for (long at = 0; at < Catalog.REREGISTRATION_MS; at += 700) {
			read(this.cutOff, 11, CUT_MS + at, onlyA());
		}
		assertThat(names(this.cutOff)).containsExactly("a", "b");
		read(this.cutOff, 11, CUT_MS + Catalog.REREGISTRATION_MS, onlyA());
		assertThat(names(this.cutOff)).containsExactly("a");
	}

	// Guards against a process that drops a live server which has registered again, but
	// without any new content.
	@Test
	void serverThatRegistersAgainUnchangedIsPassedOn() {
		cutOffWhileAServerLeaves();
		read(this.cutOff, 11, CUT_MS, onlyA());
		CatalogChange change = this.cutOff.replace(List.of(item("a", 8, "1"), item("b", 14, "1")), 14, CUT_MS + 700);
		assertThat(change.changed()).containsExactly(item("b", 14, "1"));
		assertThat(this.cutOff.removeExpired(CUT_MS + 60_000, true).isEmpty()).isTrue();
	}

	@Test
	void processThatStartsTakesRetainedServersUntilTheirDeadlineOnly() {
		cutOffWhileAServerLeaves();
		read(this.cutOff, 11, CUT_MS, onlyA());
		CatalogNews news = CatalogNews.ofState(this.cutOff, CUT_MS + 1_000);
		assertThat(news.items()).containsExactly(item("a", 8, "1"));
		assertThat(news.retained()).containsExactly(new RetainedItem(item("b", 9, "1"), 1_200));
		Catalog started = new Catalog(CatalogRetentionTests::decode);
		news.applyTo(started, CUT_MS + 1_000, true);
		assertThat(names(started)).containsExactly("a", "b");
		started.removeExpired(CUT_MS + Catalog.REREGISTRATION_MS, true);
		assertThat(names(started)).containsExactly("a");
	}

	@Test
	void serverThatIsKnownToHaveLeftDoesNotComeBackThroughAnotherProcess() {
		cutOffWhileAServerLeaves();
		read(this.cutOff, 11, CUT_MS, onlyA());
		CatalogNews.ofState(this.cutOff, CUT_MS).applyTo(this.connected, CUT_MS, true);
		assertThat(names(this.connected)).containsExactly("a");
		CatalogNews former = new CatalogNews(true, 0, 12, 0, List.of(both()), List.of());
		former.applyTo(this.connected, CUT_MS, false);
		assertThat(names(this.connected)).containsExactly("a");
	}

	@Test
	void missingServersOfAChangeAreRetainedAfterAnOutageAndDroppedOtherwise() {
		Catalog reader = new Catalog(CatalogRetentionTests::decode);
		Stream.of(reader, this.cutOff).forEach((catalog) -> read(catalog, 10, 0, both()));
		CatalogChange change = reader.replace(List.of(onlyA()), 11, CUT_MS);
		assertThat(change.missing()).containsExactly("b");
		CatalogNews news = CatalogNews.ofChange(reader, 10, change, CUT_MS);
		assertThat(news.isUncertain()).isTrue();
		news.applyTo(this.cutOff, CUT_MS, true);
		assertThat(names(this.cutOff)).containsExactly("a", "b");
		for (long at = 0; at <= CUT_MS; at += 500) {
			read(this.connected, 10, at, both());
		}
		news.applyTo(this.connected, CUT_MS, true);
		assertThat(names(this.connected)).containsExactly("a");
	}

	// Guards against a live server that is missing for good at a process which learned
	// that its entry had expired from one reader, and nothing from another one.
	@Test
	void changeThatDoesNotNameAServerWhichWasMissingAfterItsBaseIsNotApplied() {
		read(this.connected, 10, 0, both());
		CatalogChange removal = new CatalogChange(List.of(), List.of("b"));
		this.connected.applyChange(10, removal, Observation.ofRead(12, 100, 100));
		assertThat(this.connected.applyChange(11, CatalogChange.NONE, Observation.ofRead(14, 200, 200))).isNull();
		assertThat(this.connected.applyChange(11, removal, Observation.ofRead(14, 200, 200))).isNotNull();
		assertThat(this.connected.applyChange(14, CatalogChange.NONE, Observation.ofRead(15, 300, 300))).isNotNull();
	}

	// Guards against a failure domain that stays evacuated without end at processes that
	// do not read the store themselves.
	@Test
	void evacuationThatARestoredStoreHasLostEndsWithoutAnyMessage() {
		read(this.cutOff, 10, 0, item("d", 9, "out"));
		long restored = CatalogRevision.of(1, 4);
		this.cutOff.replace(List.of(), restored, 700);
		assertThat(this.cutOff.removeExpired(700 + Catalog.REPUBLICATION_MS - 1, true).isEmpty()).isTrue();
		assertThat(this.cutOff.removeExpired(700 + Catalog.REPUBLICATION_MS, true).removed()).containsExactly("d");
		assertThat(this.cutOff.evacuated()).isEmpty();
	}

	@Test
	void retainedEvacuationIsPassedOnWithItsDeadline() {
		read(this.cutOff, 10, 0, item("d", 9, "out"));
		this.cutOff.replace(List.of(), CatalogRevision.of(1, 4), 700);
		Catalog started = new Catalog(CatalogRetentionTests::decode);
		CatalogNews.ofState(this.cutOff, 3_700).applyTo(started, 3_700, true);
		assertThat(started.evacuated()).hasSize(1);
		started.removeExpired(700 + Catalog.REPUBLICATION_MS, true);
		assertThat(started.evacuated()).isEmpty();
	}

	@Test
	void negativeTimesAreRejected() {
		assertThatIllegalArgumentException().isThrownBy(() -> new RetainedItem(item("a", 1, "1"), -1));
		assertThatIllegalArgumentException()
			.isThrownBy(() -> new CatalogNews(true, 0, 1, -1, List.of(), List.of(), 0, 0, List.of(), List.of(), 0));
	}

}
