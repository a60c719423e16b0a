package org.lovagevale.core.fleet;

import org.lovagevale.core.message.ServerEntry;

/**
 * The latest that is known of a backend server from one source.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param server the name
 * @param state the name of its state
 * @param boot the identifier of its run, empty if not known
 * @param observedAt when it was observed in monotonic milliseconds
 * @param change the number of the change by which it is to be told to peers
 * @param announcedAt when that change was made in monotonic milliseconds
 */
record ServerReport(String server, String state, String boot, long observedAt, long change, long announcedAt) {

	ServerEntry toEntry(long now) {
		return new ServerEntry(this.server, this.state, this.boot, Math.max(0, now - this.observedAt));
	}

	boolean hasSameState(String state, String boot) {
		return this.state.equals(state) && this.boot.equals(boot);
	}

}
