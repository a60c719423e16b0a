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
	static final long FULL_MS = 5_000;

	/**
	 * Least time between two entries of a member that differ in the heartbeat counter
	 * only. Each hop adds it to the age at which a member is known, which must stay well
	 * below the time after which a member counts as unreachable.
	 */
	static final long RELAY_MS = 500;

	private final ByteBudget budget;

	private final Map<String, Exchanged> exchanged = new HashMap<>();

	private long serverChange;

	private long leavingChange;

	private long suspectChange;

	private long fullAt = Heartbeat.NEVER;

	private int cursor;

	private boolean greeted;

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
	boolean isGreeted() {
		return this.greeted;
	}

	void greet() {
		if (!this.greeted) {
			this.greeted = true;
			this.fullAt = Heartbeat.NEVER;
		}
	}

	/**
	 * Forgets what was sent if the next digest is to be a full one.
	 * @param now the time in monotonic milliseconds
	 * @param suspectChanges the number of changes of suspects; a slow transfer of many
	 * suspects is completed before it is repeated
	 */
	void startDigest(long now, long suspectChanges) {
		if (now - this.fullAt < FULL_MS) {
			return;
		}
		this.fullAt = now;
		this.exchanged.clear();
		this.serverChange = 0;
		this.leavingChange = 0;
		if (this.suspectChange >= suspectChanges) {
			this.suspectChange = 0;
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
		Exchanged last = this.exchanged.get(member.vm().value());
		if (last == null) {
			return true;
		}
		boolean isDue = now - last.at() >= RELAY_MS || !isSameApartFromBeat(last.entry(), member.entry());
		return isDue && !last.entry().equals(member.entry());
	}

	/**
	 * Notes an entry that was sent to the peer or received from it. In both cases the
	 * peer knows it, and only one direction of a link carries most heartbeats.
	 * @param entry the entry
	 * @param now the time in monotonic milliseconds
	 */
	void exchanged(MemberEntry entry, long now) {
		this.exchanged.put(entry.vm(), new Exchanged(entry, now));
	}

	private static boolean isSameApartFromBeat(MemberEntry one, MemberEntry other) {
		return one.incarnation().equals(other.incarnation()) && one.phase().equals(other.phase())
				&& one.keyEpoch() == other.keyEpoch() && one.fenced() == other.fenced();
	}

	int cursor() {
		return this.cursor;
	}

	void setCursor(int cursor) {
		this.cursor = cursor;
	}

	long serverChange() {
		return this.serverChange;
	}

	void setServerChange(long serverChange) {
		this.serverChange = serverChange;
	}

	long leavingChange() {
		return this.leavingChange;
	}

	void setLeavingChange(long leavingChange) {
		this.leavingChange = leavingChange;
	}

	long suspectChange() {
		return this.suspectChange;
	}

	void setSuspectChange(long suspectChange) {
		this.suspectChange = suspectChange;
	}

	/**
	 * The last entry of a member that was sent or received.
	 *
	 * @param entry the entry
	 * @param at when, in monotonic milliseconds
	 */
	private record Exchanged(MemberEntry entry, long at) {

	}

}
