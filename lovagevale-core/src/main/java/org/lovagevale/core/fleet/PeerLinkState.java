package org.lovagevale.core.fleet;

import java.util.HashMap;
import java.util.Map;

import org.lovagevale.core.message.MemberEntry;

/**
 * Tracks what one peer already knows through its link, so that digests hold only changes.
 *
 * <p>
 * Not thread-safe.
 */
final class PeerLinkState {

	/** Time between two full digests, which make up for lost messages. */
	static final long FULL_DIGEST_INTERVAL_MS = 5_000;

	/**
	 * Minimum time between sending two entries of a member that differ only in the
	 * heartbeat counter. Each hop adds this time to the age of the entry, which must stay
	 * well below the time after which a member counts as unreachable.
	 */
	static final long HEARTBEAT_RELAY_INTERVAL_MS = 500;

	private final ByteBudget budget;

	private final Map<String, KnownEntry> knownEntries = new HashMap<>();

	private long sentServerChange;

	private long sentLeavingChange;

	private long sentSuspectChange;

	private long fullDigestAt = Heartbeat.NEVER;

	private int memberCursor;

	private boolean digestReceived;

	PeerLinkState(ByteBudget budget) {
		this.budget = budget;
	}

	ByteBudget budget() {
		return this.budget;
	}

	/**
	 * Tells whether the peer sent a digest on this link. Before that, this process cannot
	 * prove to the peer when a digest was written, and the peer would not use its
	 * content.
	 * @return {@code true} if it did
	 */
	boolean isDigestReceived() {
		return this.digestReceived;
	}

	void recordDigestReceived() {
		if (!this.digestReceived) {
			this.digestReceived = true;
			this.fullDigestAt = Heartbeat.NEVER;
		}
	}

	/**
	 * Prepares the next digest: if a full one is due, everything counts as not sent.
	 * @param now the time in monotonic milliseconds
	 * @param suspectChanges the change count of the suspects; a transfer of many suspects
	 * that spans several digests is completed before it restarts
	 */
	void startDigest(long now, long suspectChanges) {
		if (now - this.fullDigestAt < FULL_DIGEST_INTERVAL_MS) {
			return;
		}
		this.fullDigestAt = now;
		this.knownEntries.clear();
		this.sentServerChange = 0;
		this.sentLeavingChange = 0;
		if (this.sentSuspectChange >= suspectChanges) {
			this.sentSuspectChange = 0;
		}
	}

	/**
	 * Tells whether the entry of a member is to be sent: at once if anything but the
	 * heartbeat counter changed, otherwise after {@link #HEARTBEAT_RELAY_INTERVAL_MS}.
	 * @param member the member
	 * @param now the time in monotonic milliseconds
	 * @return {@code true} if it is to be sent
	 */
	boolean isMemberDue(Member member, long now) {
		KnownEntry last = this.knownEntries.get(member.vm().value());
		if (last == null) {
			return true;
		}
		boolean isDue = now - last.at() >= HEARTBEAT_RELAY_INTERVAL_MS
				|| !isSameApartFromBeat(last.entry(), member.entry());
		return isDue && !last.entry().equals(member.entry());
	}

	/**
	 * Records an entry that was sent to the peer or received from it. The peer knows it
	 * in both cases, so most heartbeats cross a link in one direction only.
	 * @param entry the entry
	 * @param now the time in monotonic milliseconds
	 */
	void recordKnown(MemberEntry entry, long now) {
		this.knownEntries.put(entry.vm(), new KnownEntry(entry, now));
	}

	private static boolean isSameApartFromBeat(MemberEntry one, MemberEntry other) {
		return one.incarnation().equals(other.incarnation()) && one.phase().equals(other.phase())
				&& one.keyEpoch() == other.keyEpoch() && one.fenced() == other.fenced();
	}

	int memberCursor() {
		return this.memberCursor;
	}

	void setMemberCursor(int memberCursor) {
		this.memberCursor = memberCursor;
	}

	long sentServerChange() {
		return this.sentServerChange;
	}

	void setSentServerChange(long sentServerChange) {
		this.sentServerChange = sentServerChange;
	}

	long sentLeavingChange() {
		return this.sentLeavingChange;
	}

	void setSentLeavingChange(long sentLeavingChange) {
		this.sentLeavingChange = sentLeavingChange;
	}

	long sentSuspectChange() {
		return this.sentSuspectChange;
	}

	void setSentSuspectChange(long sentSuspectChange) {
		this.sentSuspectChange = sentSuspectChange;
	}

	/**
	 * The last entry of a member that was sent or received.
	 *
	 * @param entry the entry
	 * @param at when it was sent or received, in monotonic milliseconds
	 */
	private record KnownEntry(MemberEntry entry, long at) {

	}

}
