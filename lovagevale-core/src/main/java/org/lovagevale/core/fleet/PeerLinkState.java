package org.lovagevale.core.fleet;

import java.util.HashMap;
import java.util.Map;

import org.lovagevale.core.message.MemberEntry;

/**
 * The state of the link to one peer: its byte budget and what the peer already knows, so
 * that digests contain only changes.
 *
 * <p>
 * Not thread-safe.
 */
final class PeerLinkState {

	/** Time between two full digests, which compensate for lost messages. */
	static final long FULL_DIGEST_INTERVAL_MS = 5_000;

	/**
	 * Minimum time between sending two entries of a member that differ only in the
	 * heartbeat counter. Each hop adds up to this time to the age of the entry, which
	 * must stay well below the time after which a member counts as unreachable.
	 */
	static final long HEARTBEAT_RELAY_INTERVAL_MS = 500;

	private final ByteBudget budget;

	private final Map<String, KnownEntry> knownEntries = new HashMap<>();

	// Sequence numbers of the last changes that were sent.
	private long sentServerChange;

	private long sentLeavingChange;

	private long sentSuspectChange;

	private long fullDigestAt = Heartbeat.NEVER;

	// Index among the due members at which the next digest starts.
	private int memberCursor;

	private boolean digestReceived;

	PeerLinkState(ByteBudget budget) {
		this.budget = budget;
	}

	ByteBudget budget() {
		return this.budget;
	}

	/**
	 * Tells whether the peer sent a digest on this link. Before that, this process may
	 * know no current heartbeat counter of the peer to echo. Without it the peer cannot
	 * tell when a digest was written and does not use its content.
	 * @return {@code true} if the peer sent a digest
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
	 * Prepares the next digest. If a full digest is due, forgets what was sent before.
	 * @param now the time in monotonic milliseconds
	 * @param suspectChangeCount the number of changes of suspects; if there are so many
	 * suspects that sending them takes several digests, all of them are sent before the
	 * first one is sent again
	 */
	void prepareDigest(long now, long suspectChangeCount) {
		if (now - this.fullDigestAt < FULL_DIGEST_INTERVAL_MS) {
			return;
		}
		this.fullDigestAt = now;
		this.knownEntries.clear();
		this.sentServerChange = 0;
		this.sentLeavingChange = 0;
		if (this.sentSuspectChange >= suspectChangeCount) {
			this.sentSuspectChange = 0;
		}
	}

	/**
	 * Tells whether the changed entry of a member is to be sent: at once if more than the
	 * heartbeat counter changed, otherwise after {@link #HEARTBEAT_RELAY_INTERVAL_MS}.
	 * @param member the member
	 * @param now the time in monotonic milliseconds
	 * @return {@code true} if the entry is to be sent
	 */
	boolean isMemberDue(Member member, long now) {
		KnownEntry last = this.knownEntries.get(member.vm().value());
		if (last == null) {
			return true;
		}
		boolean isDue = now - last.at() >= HEARTBEAT_RELAY_INTERVAL_MS
				|| !isEqualExceptBeat(last.entry(), member.entry());
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

	private static boolean isEqualExceptBeat(MemberEntry one, MemberEntry other) {
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
