package org.lovagevale.core.fleet;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.CallerAddress;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.MemberPhase;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.ServerState;
import org.lovagevale.core.decision.AnswerAddresses;
import org.lovagevale.core.decision.KeepLinks;
import org.lovagevale.core.event.AddressesAsked;
import org.lovagevale.core.event.PeerConnected;
import org.lovagevale.core.event.SettingsReceived;
import org.lovagevale.core.event.VmListReceived;
import org.lovagevale.core.message.Digest;
import org.lovagevale.core.message.MemberEntry;
import org.lovagevale.core.message.ServerEntry;
import org.lovagevale.settings.model.EntryVm;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against wrong states of members and servers, and against digests that omit
 * changes or exceed the byte budget of their link.
 */
class FleetMembersTests {

	private static final String[] VMS = { "west/a/e1", "west/a/e2", "west/a/e3", "west/b/e4", "east/a/e5",
			"!east/b/e6" };

	private final FleetHarness fleet = FleetHarness.withSettings(TestSettings.settings(7, VMS), "e2", "e3", "e4", "e5",
			"e6");

	@Test
	void higherIncarnationReplacesLowerOne() {
		Incarnation newer = new Incarnation(200, 0);
		receive(this.fleet.entry("e2", newer, MemberPhase.STARTING, false));
		receive(this.fleet.entry("e2", FleetHarness.INCARNATION, MemberPhase.LIVE, false));
		assertThat(this.fleet.member("e2").incarnation()).isEqualTo(newer.toString());
		assertThat(this.fleet.member("e2").phase()).isEqualTo("STARTING");
	}

	@Test
	void silentMemberBecomesUnreachableAndReachableAgain() {
		this.fleet.advance(3_400);
		assertThat(this.fleet.auditEvents()).contains("member.unreachable");
		assertThat(addresses(null)).doesNotContain("e2");
		this.fleet.receiveDigestsFrom("e2");
		this.fleet.advance(250);
		assertThat(this.fleet.auditEvents()).containsSubsequence("member.unreachable", "member.reachable");
		assertThat(addresses(null)).contains("e2");
	}

	@Test
	void malformedEntriesAreCountedAndOthersAreUsed() {
		MemberEntry malformed = new MemberEntry("NOT A NAME", "x", 1, "NONE", 0, false);
		Digest digest = new Digest(List.of(this.fleet.ownEntry(), malformed), 7, 0,
				List.of(new ServerEntry("server-west", "HOT", "", 0), new ServerEntry("server-east", "WARM", "", 0)),
				List.of());
		this.fleet.receive("e2", digest);
		assertThat(this.fleet.logic.counters().malformed()).isEqualTo(2);
		assertThat(this.fleet.logic.peerReport(new ServerName("server-east"))).isNotNull();
	}

	@Test
	void newestServerStateIsKept() {
		receiveServerState("WARM", 100);
		receiveServerState("COLD", 5_000);
		this.fleet.advance(1_000);
		ServerEntry entry = this.fleet.logic.peerReport(new ServerName("server-west"));
		assertThat(entry.state()).isEqualTo("WARM");
		assertThat(entry.ageMs()).isGreaterThanOrEqualTo(1_100);
	}

	@Test
	void serverListedAsLeavingIsLeavingUntilListedLiveOrExpired() {
		ServerName server = new ServerName("server-west");
		receiveServerState(ServerEntry.LEAVING, 100);
		assertThat(this.fleet.logic.isLeaving(server)).isTrue();
		assertThat(this.fleet.logic.peerReport(server)).isNull();
		this.fleet.apply(new VmListReceived(Set.of(), Set.of("server-west")));
		receiveServerState(ServerEntry.LEAVING, 200);
		assertThat(this.fleet.logic.isLeaving(server)).isFalse();
		this.fleet.apply(new VmListReceived(Set.of("server-west"), Set.of()));
		this.fleet.advance(29_000);
		assertThat(this.fleet.logic.isLeaving(server)).isTrue();
		this.fleet.advance(2_000);
		assertThat(this.fleet.logic.isLeaving(server)).isFalse();
	}

	@Test
	void digestsContainChangesAndAreFullAtIntervals() {
		connect("e2");
		this.fleet.logic.recordState(new ServerName("server-west"), ServerState.WARM, "b1");
		this.fleet.receiveDigestsFrom("e2");
		this.fleet.decisions.clear();
		this.fleet.advance(9_500);
		List<Digest> digests = this.fleet.sent("e2", Digest.class);
		assertThat(digests).hasSize(38).allMatch((digest) -> hasMember(digest, "e1") && hasMember(digest, "e2"));
		assertThat(digests.stream().filter((digest) -> !digest.servers().isEmpty())).hasSize(2);
		assertThat(digests.stream().filter((digest) -> hasMember(digest, "e3"))).hasSize(1);
	}

	@Test
	void serverStatesAreWithheldUntilThePeerSentADigest() {
		this.fleet.logic.recordState(new ServerName("server-west"), ServerState.WARM, "b1");
		connect("e2");
		this.fleet.advance(250);
		assertThat(this.fleet.sent("e2", Digest.class)).allMatch((digest) -> digest.servers().isEmpty());
		this.fleet.receiveDigestsFrom("e2");
		this.fleet.advance(250);
		assertThat(this.fleet.sent("e2", Digest.class).getLast().servers()).hasSize(1);
	}

	@Test
	void budgetDropsOldestServerStatesFirst() {
		connect("e2");
		this.fleet.receiveDigestsFrom("e2");
		for (int i = 0; i < 5_000; i++) {
			this.fleet.logic.recordState(new ServerName("s-" + i), ServerState.WARM, "boot");
		}
		this.fleet.decisions.clear();
		this.fleet.advance(10_000);
		List<Digest> digests = this.fleet.sent("e2", Digest.class);
		int bytes = digests.stream().mapToInt(MessageSize::of).sum();
		assertThat(bytes).isBetween(20_000, 11 * 20_000);
		assertThat(digests.getFirst().servers().getFirst().server()).isEqualTo("s-4999");
		assertThat(digests.getFirst().servers()).extracting(ServerEntry::server).doesNotContain("s-0");
	}

	@Test
	void linksIncludeOtherDomainsAndAnotherRegion() {
		List<EntryVm> vms = IntStream.range(0, 20)
			.mapToObj((i) -> TestSettings.vm("r" + i % 3 + "/" + "ab".charAt(i / 3 % 2) + "/e" + i))
			.toList();
		for (EntryVm own : vms) {
			Set<VmName> links = LinkSelector.choose(own.name(), vms, 6);
			List<EntryVm> chosen = vms.stream().filter((vm) -> links.contains(vm.name())).toList();
			assertThat(chosen).hasSize(6).doesNotContain(own);
			assertThat(chosen.stream().filter((vm) -> !vm.domain().equals(own.domain())).count())
				.isGreaterThanOrEqualTo(2);
			assertThat(chosen).anyMatch((vm) -> !vm.region().equals(own.region()));
		}
		assertThat(this.fleet.decisions(KeepLinks.class).getFirst().peers()).hasSize(5);
	}

	@Test
	void addressesExcludeVmsThatMayNotServe() {
		assertThat(addresses(null)).hasSize(3).contains("e4").doesNotContain("e5", "e6");
		receive(this.fleet.entry("e2", FleetHarness.INCARNATION, MemberPhase.LEAVING, false));
		receive(this.fleet.entry("e3", FleetHarness.INCARNATION, MemberPhase.LIVE, true));
		assertThat(addresses(null)).containsExactlyInAnyOrder("e1", "e4", "e5").endsWith("e5");
		assertThat(addresses("west-only")).containsExactlyInAnyOrder("e1", "e4");
		this.fleet.apply(new VmListReceived(Set.of("e4"), Set.of()));
		assertThat(addresses("west-only")).containsExactly("e1");
	}

	@Test
	void addressesCarryThePrefixOfTheIncarnation() {
		CallerAddress address = answer(null).addresses()
			.stream()
			.filter((candidate) -> candidate.vm().name().value().equals("e4"))
			.findFirst()
			.orElseThrow();
		assertThat(address.keyPrefix()).isEqualTo("e4." + FleetHarness.INCARNATION + ".5.");
	}

	@Test
	void ownershipRequiresTimeAfterStartAndConfirmedSettings() {
		assertThat(longestOwnedMs(7_000)).isZero();
		assertThat(longestOwnedMs(30_000)).isBetween(1L, 4_750L);
		this.fleet.advance(3_000);
		this.fleet.receiveDigestsFrom("e2", "e3", "e4", "e5");
		assertThat(this.fleet.logic.permission()).isEqualTo(WorkPermission.OPEN);
		assertThat(this.fleet.logic.ownedForMs(TestSettings.server("west"))).isZero();
	}

	@Test
	void missedVersionSuspendsOwnershipEvenIfTheListIsUnchanged() {
		longestOwnedMs(15_000);
		while (longestOwnedMs(250) < 4_000) {
			assertThat(this.fleet.clock.millis()).isLessThan(60_000);
		}
		this.fleet.apply(new SettingsReceived(TestSettings.settings(8, VMS), "next", false));
		assertThat(longestOwnedMs(250)).as("no version missed, same list").isPositive();
		// e1 owns the server again three windows later.
		this.fleet.clock.advance(13_000);
		this.fleet.apply(new SettingsReceived(TestSettings.settings(9, VMS), "later", false));
		assertThat(longestOwnedMs(5_000)).as("other processes may use the list of a missed version").isZero();
	}

	private long longestOwnedMs(long millis) {
		long longest = 0;
		for (long i = 0; i < millis; i += 250) {
			this.fleet.receive("e2", this.fleet.digest("e2", this.fleet.logic.settings().version(), 0));
			this.fleet.advance(250);
			longest = Math.max(longest, this.fleet.logic.ownedForMs(TestSettings.server("west")));
		}
		return longest;
	}

	private void connect(String peer) {
		this.fleet.apply(new PeerConnected(new VmName(peer), FleetHarness.INCARNATION));
	}

	private void receive(MemberEntry entry) {
		this.fleet.receive("e5", new Digest(List.of(this.fleet.ownEntry(), entry), 0, -1, List.of(), List.of()));
	}

	private void receiveServerState(String state, long ageMs) {
		this.fleet.receive("e2",
				this.fleet.digest("e2", List.of(new ServerEntry("server-west", state, "b", ageMs)), List.of()));
	}

	private static boolean hasMember(Digest digest, String vm) {
		return digest.members().stream().anyMatch((entry) -> entry.vm().equals(vm));
	}

	private List<String> addresses(String account) {
		return answer(account).addresses()
			.stream()
			.peek((address) -> assertThat(account == null || address.vm().region().equals(new Region("west"))).isTrue())
			.map((address) -> address.vm().name().value())
			.toList();
	}

	private AnswerAddresses answer(String account) {
		this.fleet.apply(new AddressesAsked(new RequestId(1), TestSettings.SERVICE,
				(account != null) ? TestSettings.WEST_ONLY : null, "127.0.0.9"));
		return this.fleet.decisions(AnswerAddresses.class).getLast();
	}

}
