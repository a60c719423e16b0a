package org.lovagevale.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.ServerName;
import org.lovagevale.core.ServerState;
import org.lovagevale.core.message.ServerEntry;

/**
 * The states of backend servers: what peers said, and what is to be told to peers.
 *
 * <p>
 * Only the latest observation of a server is kept and passed on. Not thread-safe.
 */
final class ServerReports {

	/** Age after which an observation is neither used nor passed on. */
	static final long FORGET_MS = 60_000;

	/** Time after which an unchanged state is told again. */
	private static final long REPEAT_MS = 2_000;

	private static final int CAPACITY = 16_384;

	private final Clock clock;

	private final Map<String, ServerReport> heard = new HashMap<>();

	// In the order of changes, the newest last.
	private final LinkedHashMap<String, ServerReport> told = new LinkedHashMap<>();

	private long changes;

	ServerReports(Clock clock) {
		this.clock = clock;
	}

	void recordState(ServerName server, ServerState state, String boot) {
		tell(server.value(), state.name(), boot, this.clock.millis());
	}

	/**
	 * Merges what a peer says.
	 * @param entry the entry
	 * @param at when it was observed, in monotonic milliseconds
	 * @throws IllegalArgumentException if the entry is malformed
	 */
	void heard(ServerEntry entry, long at) {
		new ServerName(entry.server());
		ServerState.valueOf(entry.state());
		ServerReport known = this.heard.get(entry.server());
		boolean isOld = this.clock.millis() - at > FORGET_MS || (known != null && known.at() >= at);
		if (isOld || (known == null && this.heard.size() >= CAPACITY)) {
			return;
		}
		this.heard.put(entry.server(), new ServerReport(entry.server(), entry.state(), entry.boot(), at, 0, 0));
		tell(entry.server(), entry.state(), entry.boot(), at);
	}

	@Nullable ServerEntry peerReport(ServerName server) {
		ServerReport report = this.heard.get(server.value());
		long now = this.clock.millis();
		return (report != null && now - report.at() <= FORGET_MS) ? report.toEntry(now) : null;
	}

	long changes() {
		return this.changes;
	}

	/**
	 * Returns the newest changes that fit into a number of bytes.
	 * @param afterChange the last change that is not wanted
	 * @param bytes the most bytes
	 * @return the entries, the newest first
	 */
	List<ServerEntry> changedAfter(long afterChange, long bytes) {
		List<ServerEntry> entries = new ArrayList<>();
		long now = this.clock.millis();
		long left = bytes;
		for (ServerReport report : this.told.sequencedValues().reversed()) {
			ServerEntry entry = report.toEntry(now);
			left -= MessageSize.of(entry);
			if (report.change() <= afterChange || left < 0) {
				break;
			}
			if (entry.ageMs() <= FORGET_MS) {
				entries.add(entry);
			}
		}
		return entries;
	}

	private void tell(String server, String state, String boot, long at) {
		ServerReport known = this.told.get(server);
		if (known != null && known.at() >= at) {
			return;
		}
		long now = this.clock.millis();
		if (known != null && known.isSame(state, boot) && now - known.toldAt() < REPEAT_MS) {
			this.told.put(server, new ServerReport(server, state, boot, at, known.change(), known.toldAt()));
			return;
		}
		this.told.remove(server);
		this.told.put(server, new ServerReport(server, state, boot, at, ++this.changes, now));
		trim();
	}

	private void trim() {
		if (this.told.size() > CAPACITY) {
			this.told.pollFirstEntry();
		}
	}

}
