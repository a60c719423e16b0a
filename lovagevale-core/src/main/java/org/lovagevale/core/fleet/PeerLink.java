package org.lovagevale.core.fleet;

import java.util.HashMap;
import java.util.Map;

import org.lovagevale.core.message.MemberEntry;

/**
 * What was sent to one peer since the link opened.
 *
 * <p>
 * Not thread-safe.
 */
final class PeerLink {

	/** Most time between two full digests, which repair what was lost. */
	static final long FULL_DIGEST_INTERVAL_MS = 5_000;

	/**
	 * Least time between two entries of a member that differ in the heartbeat counter
	 * only. Each hop adds it to the age at which a member is known, which must stay well
	 * below the time after which a member counts as unreachable.
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

	PeerLink(ByteBudget budget) {
		this.budget = budget;
	}

	ByteBudget budget() {
		return this.budget;
	}

	/**
	 * Tells whether the peer sent a digest on this link. Before that it cannot prove to
	 * the peer when a message was written, and the peer would not use its content.
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
	 * Forgets what was sent if the next digest is to be a full one.
	 * @param now the time in monotonic milliseconds
	 * @param suspectChanges the number of changes of suspects; a slow transfer of many
	 * suspects is completed before it is repeated
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
	 * Tells whether an entry is to be sent: at once if it says something new, after some
	 * time if only its heartbeat counter grew.
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
	 * Notes an entry that was sent to the peer or received from it. In both cases the
	 * peer knows it, and only one direction of a link carries most heartbeats.
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
	 * @param at when, in monotonic milliseconds
	 */
	private record KnownEntry(MemberEntry entry, long at) {

	}

}
