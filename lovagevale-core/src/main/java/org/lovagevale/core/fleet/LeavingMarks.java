package org.lovagevale.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.lovagevale.base.Clock;
import org.lovagevale.base.Names;
import org.lovagevale.core.message.ServerEntry;

/**
 * VMs and backend servers that the platform lists as leaving.
 *
 * <p>
 * Only readers see the list, so marks travel with digests as server entries with the
 * state {@link ServerEntry#LEAVING}. A mark ends when a later list has the name as live,
 * or when it was not renewed for some time. Not thread-safe.
 */
final class LeavingMarks {

	/** Several times the interval of the list, so that a few lost reads do not matter. */
	static final long VALID_MS = 30_000;

	private static final int CAPACITY = 16_384;

	private final Clock clock;

	private final Map<String, Mark> marks = new HashMap<>();

	private long changes;

	LeavingMarks(Clock clock) {
		this.clock = clock;
	}

	void listed(Set<String> leaving, Set<String> live) {
		long now = this.clock.millis();
		this.marks.values().removeIf((mark) -> now - mark.at() > VALID_MS);
		this.marks.replaceAll((name, mark) -> live.contains(name) ? new Mark(false, now, 0) : mark);
		leaving.forEach((name) -> this.marks.put(name, new Mark(true, now, ++this.changes)));
	}

	/**
	 * Merges what a peer says.
	 * @param entry the entry
	 * @param at when the list had it, in monotonic milliseconds
	 * @throws IllegalArgumentException if the entry is malformed
	 */
	void heard(ServerEntry entry, long at) {
		if (!Names.isValid(entry.server())) {
			throw new IllegalArgumentException("invalid name in a leaving mark");
		}
		Mark known = this.marks.get(entry.server());
		boolean isOld = this.clock.millis() - at > VALID_MS || (known != null && known.at() >= at);
		if (!isOld && (known != null || this.marks.size() < CAPACITY)) {
			this.marks.put(entry.server(), new Mark(true, at, ++this.changes));
		}
	}

	boolean isLeaving(String name) {
		Mark mark = this.marks.get(name);
		return mark != null && mark.leaving() && this.clock.millis() - mark.at() <= VALID_MS;
	}

	long changes() {
		return this.changes;
	}

	List<ServerEntry> changedAfter(long afterChange) {
		if (afterChange >= this.changes) {
			return List.of();
		}
		long now = this.clock.millis();
		List<ServerEntry> entries = new ArrayList<>();
		this.marks.forEach((name, mark) -> {
			if (mark.leaving() && mark.change() > afterChange) {
				entries.add(new ServerEntry(name, ServerEntry.LEAVING, "", Math.max(0, now - mark.at())));
			}
		});
		return entries;
	}

	/**
	 * What the list said of a name.
	 *
	 * @param leaving whether it is leaving
	 * @param at when, in monotonic milliseconds
	 * @param change the number of the change by which it is to be told to peers
	 */
	private record Mark(boolean leaving, long at, long change) {

	}

}
