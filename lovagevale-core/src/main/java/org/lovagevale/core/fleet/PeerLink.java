package org.lovagevale.core.fleet;

import java.util.HashMap;
import java.util.Map;

import org.lovagevale.base.VmName;

/**
 * What was sent to one peer since the link opened.
 *
 * <p>
 * Not thread-safe.
 */
final class PeerLink {

	/** Most time between two full digests, which repair what was lost. */
	static final long FULL_MS = 5_000;

	private final ByteBudget budget;

	private final Map<VmName, Long> memberChanges = new HashMap<>();

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
		this.memberChanges.clear();
		this.serverChange = 0;
		this.leavingChange = 0;
		if (this.suspectChange >= suspectChanges) {
			this.suspectChange = 0;
		}
	}

	boolean isMemberDue(Member member) {
		return member.change() > this.memberChanges.getOrDefault(member.vm(), 0L);
	}

	void memberSent(Member member) {
		this.memberChanges.put(member.vm(), member.change());
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

}
