package org.lovagevale.core.message;

import java.util.List;

/**
 * Lists entry processes and crash suspects that the sender knows.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param entries the known processes
 * @param suspects the known suspects that the receiver may not know; ignored by versions
 * without suspects
 */
public record RosterList(List<RosterEntry> entries, List<CrashSuspectEntry> suspects) implements RegionMessage {

	/**
	 * Copies the lists.
	 */
	public RosterList {
		entries = List.copyOf(entries);
		suspects = List.copyOf(suspects);
	}

	/**
	 * Creates a list without suspects.
	 * @param entries the known processes
	 */
	public RosterList(List<RosterEntry> entries) {
		this(entries, List.of());
	}

}
