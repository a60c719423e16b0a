package org.lovagevale.core.fleet;

import org.lovagevale.core.message.ServerEntry;

/**
 * The latest state of a backend server that was received from peers or announced to them.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param server the name of the server
 * @param state the name of its state
 * @param boot the boot identifier of the server, empty if not known
 * @param observedAt when the state was observed, in monotonic milliseconds
 * @param change the sequence number of the change, by which digests select reports
 * @param announcedAt when that change was recorded, in monotonic milliseconds
 */
record ServerReport(String server, String state, String boot, long observedAt, long change, long announcedAt) {

	ServerEntry toEntry(long now) {
		return new ServerEntry(this.server, this.state, this.boot, Math.max(0, now - this.observedAt));
	}

	boolean hasSameState(String state, String boot) {
		return this.state.equals(state) && this.boot.equals(boot);
	}

}
