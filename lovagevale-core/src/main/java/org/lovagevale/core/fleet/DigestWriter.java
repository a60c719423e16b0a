package org.lovagevale.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.lovagevale.base.Clock;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.message.Digest;
import org.lovagevale.core.message.MemberEntry;
import org.lovagevale.core.message.ServerEntry;
import org.lovagevale.core.message.SuspectEntry;

/**
 * Writes digests that hold the changes since the previous digest to the same peer,
 * limited to the byte budget of the link.
 *
 * <p>
 * The entries of this process and of the receiver are always included. The entry of the
 * receiver echoes its own heartbeat counter, from which it derives a lower bound for the
 * time at which the digest was written. Suspects come next, then members in round-robin
 * order, then server states, the oldest of which are dropped first. Not thread-safe.
 */
final class DigestWriter {

	// Reserves a quarter of the budget for server states when there are many members.
	private static final int MEMBER_BUDGET_PERCENT = 75;

	private static final int PERCENT_DIVISOR = 100;

	private final Clock clock;

	private final ActiveSettings activeSettings;

	private final SettingsFreshness freshness;

	private final Members members;

	private final ServerReports reports;

	private final LeavingNames leavingNames;

	private final Suspects suspects;

	private final Supplier<MemberEntry> ownEntry;

	DigestWriter(Clock clock, ActiveSettings activeSettings, SettingsFreshness freshness, Members members,
			ServerReports reports, LeavingNames leavingNames, Suspects suspects, Supplier<MemberEntry> ownEntry) {
		this.clock = clock;
		this.activeSettings = activeSettings;
		this.freshness = freshness;
		this.members = members;
		this.reports = reports;
		this.leavingNames = leavingNames;
		this.suspects = suspects;
		this.ownEntry = ownEntry;
	}

	/**
	 * Writes the next digest for a peer.
	 * @param peer the peer
	 * @param link the state of the link to the peer, which records what is sent
	 * @param bytes the byte budget; the entries of this process and of the receiver are
	 * sent regardless of it
	 * @return the digest
	 */
	Digest write(VmName peer, PeerLinkState link, long bytes) {
		List<MemberEntry> entries = new ArrayList<>();
		entries.add(this.ownEntry.get());
		Member receiver = this.members.find(peer);
		if (receiver != null) {
			entries.add(receiver.entry());
		}
		if (!link.isDigestReceived()) {
			return digest(entries, List.of(), List.of());
		}
		link.prepareDigest(this.clock.millis(), this.suspects.changeCount());
		long remainingBytes = bytes - MessageSize.FRAME_BYTES - entries.stream().mapToInt(MessageSize::of).sum();
		List<SuspectEntry> suspectEntries = suspectEntries(peer, link, remainingBytes);
		remainingBytes -= suspectEntries.stream().mapToInt(MessageSize::of).sum();
		List<MemberEntry> others = memberEntries(peer, link, remainingBytes * MEMBER_BUDGET_PERCENT / PERCENT_DIVISOR);
		remainingBytes -= others.stream().mapToInt(MessageSize::of).sum();
		entries.addAll(others);
		return digest(entries, serverEntries(link, remainingBytes), suspectEntries);
	}

	private Digest digest(List<MemberEntry> entries, List<ServerEntry> servers, List<SuspectEntry> suspectEntries) {
		return new Digest(entries, this.activeSettings.version(), this.freshness.ageMs(), servers, suspectEntries);
	}

	private List<SuspectEntry> suspectEntries(VmName peer, PeerLinkState link, long bytes) {
		List<SuspectEntry> entries = new ArrayList<>();
		long remainingBytes = bytes;
		for (Suspect suspect : this.suspects.changedAfter(link.sentSuspectChange())) {
			if (mayReceive(peer, suspect)) {
				SuspectEntry entry = this.suspects.toEntry(suspect);
				remainingBytes -= MessageSize.of(entry);
				if (remainingBytes < 0 && !entries.isEmpty()) {
					return entries;
				}
				entries.add(entry);
			}
			link.setSentSuspectChange(suspect.change());
		}
		link.setSentSuspectChange(this.suspects.changeCount());
		return entries;
	}

	private boolean mayReceive(VmName peer, Suspect suspect) {
		Set<Region> regions = suspect.regions().stream().map(Region::new).collect(Collectors.toSet());
		return this.activeSettings.isInHomeRegions(peer, regions);
	}

	// If the budget is too small for all members, the next digest to the peer continues
	// with the first member that was left out.
	private List<MemberEntry> memberEntries(VmName peer, PeerLinkState link, long bytes) {
		List<Member> members = dueMembers(peer, link);
		List<MemberEntry> entries = new ArrayList<>();
		long remainingBytes = bytes;
		for (int i = 0; i < members.size(); i++) {
			Member member = members.get((link.memberCursor() + i) % members.size());
			remainingBytes -= MessageSize.of(member.entry());
			if (remainingBytes < 0) {
				link.setMemberCursor((link.memberCursor() + i) % members.size());
				break;
			}
			entries.add(member.entry());
			link.recordKnown(member.entry(), this.clock.millis());
		}
		return entries;
	}

	// Members that were not heard from recently are left out, so that outdated entries do
	// not keep circulating.
	private List<Member> dueMembers(VmName peer, PeerLinkState link) {
		long now = this.clock.millis();
		long withinMs = this.activeSettings.exchange().unreachableMs();
		return this.members.all()
			.stream()
			.filter((member) -> !member.vm().equals(peer) && link.isMemberDue(member, now))
			.filter((member) -> this.members.isReachableWithin(member, withinMs))
			.toList();
	}

	private List<ServerEntry> serverEntries(PeerLinkState link, long bytes) {
		List<ServerEntry> entries = new ArrayList<>(this.leavingNames.changedAfter(link.sentLeavingChange()));
		link.setSentLeavingChange(this.leavingNames.changeCount());
		long remainingBytes = bytes - entries.stream().mapToInt(MessageSize::of).sum();
		entries.addAll(this.reports.changedAfter(link.sentServerChange(), remainingBytes));
		link.setSentServerChange(this.reports.changeCount());
		return entries;
	}

}
