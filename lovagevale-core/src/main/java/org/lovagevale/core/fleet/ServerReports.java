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
 * The states of backend servers: those received from peers and those to announce to
 * peers.
 *
 * <p>
 * Only the latest observation of a server is kept and forwarded. Not thread-safe.
 */
final class ServerReports {

	/** Age after which an observation is neither used nor forwarded. */
	static final long MAX_AGE_MS = 60_000;

	/** Time after which an unchanged state is announced again. */
	private static final long REPEAT_INTERVAL_MS = 2_000;

	private static final int MAX_SERVERS = 16_384;

	private final Clock clock;

	private final Map<String, ServerReport> received = new HashMap<>();

	// Ordered by change, the newest last.
	private final LinkedHashMap<String, ServerReport> outgoing = new LinkedHashMap<>();

	private long changeCount;

	ServerReports(Clock clock) {
		this.clock = clock;
	}

	void recordState(ServerName server, ServerState state, String boot) {
		announce(server.value(), state.name(), boot, this.clock.millis());
	}

	/**
	 * Merges an entry received from a peer.
	 * @param entry the entry
	 * @param observedAt when the state was observed, in monotonic milliseconds
	 * @throws IllegalArgumentException if the entry is malformed
	 */
	void merge(ServerEntry entry, long observedAt) {
		new ServerName(entry.server());
		ServerState.valueOf(entry.state());
		ServerReport known = this.received.get(entry.server());
		boolean isOutdated = this.clock.millis() - observedAt > MAX_AGE_MS
				|| (known != null && known.observedAt() >= observedAt);
		if (isOutdated || (known == null && this.received.size() >= MAX_SERVERS)) {
			return;
		}
		this.received.put(entry.server(),
				new ServerReport(entry.server(), entry.state(), entry.boot(), observedAt, 0, 0));
		announce(entry.server(), entry.state(), entry.boot(), observedAt);
	}

	@Nullable ServerEntry peerReport(ServerName server) {
		ServerReport report = this.received.get(server.value());
		long now = this.clock.millis();
		return (report != null && now - report.observedAt() <= MAX_AGE_MS) ? report.toEntry(now) : null;
	}

	long changeCount() {
		return this.changeCount;
	}

	/**
	 * Returns the newest changes that fit into a number of bytes.
	 * @param afterChange the sequence number after which changes are returned
	 * @param bytes the maximum size of the entries in bytes
	 * @return the entries, the newest first
	 */
	List<ServerEntry> changedAfter(long afterChange, long bytes) {
		List<ServerEntry> entries = new ArrayList<>();
		long now = this.clock.millis();
		long remainingBytes = bytes;
		for (ServerReport report : this.outgoing.sequencedValues().reversed()) {
			ServerEntry entry = report.toEntry(now);
			remainingBytes -= MessageSize.of(entry);
			if (report.change() <= afterChange || remainingBytes < 0) {
				break;
			}
			if (entry.ageMs() <= MAX_AGE_MS) {
				entries.add(entry);
			}
		}
		return entries;
	}

	private void announce(String server, String state, String boot, long observedAt) {
		ServerReport known = this.outgoing.get(server);
		if (known != null && known.observedAt() >= observedAt) {
			return;
		}
		long now = this.clock.millis();
		if (known != null && known.hasSameState(state, boot) && now - known.announcedAt() < REPEAT_INTERVAL_MS) {
			this.outgoing.put(server,
					new ServerReport(server, state, boot, observedAt, known.change(), known.announcedAt()));
			return;
		}
		this.outgoing.remove(server);
		this.outgoing.put(server, new ServerReport(server, state, boot, observedAt, ++this.changeCount, now));
		dropOldestIfTooMany();
	}

	private void dropOldestIfTooMany() {
		if (this.outgoing.size() > MAX_SERVERS) {
			this.outgoing.pollFirstEntry();
		}
	}

}
