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
 * The names of the VMs and backend servers that the platform lists as leaving.
 *
 * <p>
 * Only the processes chosen by {@link ReaderSelector} read the list, so digests forward
 * the names as server entries with the state {@link ServerEntry#LEAVING}. A name is no
 * longer leaving when a later list shows it as live or when no list contained it for
 * {@link #VALIDITY_MS}. Not thread-safe.
 */
final class LeavingNames {

	/**
	 * Time for which a name is leaving after it was listed. This is several times the
	 * interval between reads of the list, so that a few failed reads do not matter.
	 */
	static final long VALIDITY_MS = 30_000;

	private static final int MAX_NAMES = 16_384;

	private final Clock clock;

	private final Map<String, Listing> listings = new HashMap<>();

	private long changeCount;

	LeavingNames(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Applies a list that was read from the platform.
	 * @param leaving the names listed as leaving
	 * @param live the names listed as live
	 */
	void update(Set<String> leaving, Set<String> live) {
		long now = this.clock.millis();
		this.listings.values().removeIf((listing) -> now - listing.listedAt() > VALIDITY_MS);
		this.listings.replaceAll((name, listing) -> live.contains(name) ? new Listing(false, now, 0) : listing);
		leaving.forEach((name) -> this.listings.put(name, new Listing(true, now, ++this.changeCount)));
	}

	/**
	 * Merges an entry received from a peer.
	 * @param entry the entry
	 * @param listedAt when the platform listed the name, in monotonic milliseconds
	 * @throws IllegalArgumentException if the entry is malformed
	 */
	void merge(ServerEntry entry, long listedAt) {
		if (!Names.isValid(entry.server())) {
			throw new IllegalArgumentException("invalid name in a server entry with the state LEAVING");
		}
		Listing known = this.listings.get(entry.server());
		boolean isOutdated = this.clock.millis() - listedAt > VALIDITY_MS
				|| (known != null && known.listedAt() >= listedAt);
		if (!isOutdated && (known != null || this.listings.size() < MAX_NAMES)) {
			this.listings.put(entry.server(), new Listing(true, listedAt, ++this.changeCount));
		}
	}

	boolean isLeaving(String name) {
		Listing listing = this.listings.get(name);
		return listing != null && listing.leaving() && this.clock.millis() - listing.listedAt() <= VALIDITY_MS;
	}

	long changeCount() {
		return this.changeCount;
	}

	/**
	 * Returns the names that were listed as leaving after a change.
	 * @param afterChange the sequence number of the change
	 * @return the entries to send to peers
	 */
	List<ServerEntry> changedAfter(long afterChange) {
		if (afterChange >= this.changeCount) {
			return List.of();
		}
		long now = this.clock.millis();
		List<ServerEntry> entries = new ArrayList<>();
		this.listings.forEach((name, listing) -> {
			if (listing.leaving() && listing.change() > afterChange) {
				entries.add(new ServerEntry(name, ServerEntry.LEAVING, "", Math.max(0, now - listing.listedAt())));
			}
		});
		return entries;
	}

	/**
	 * The state of a name in the list of the platform.
	 *
	 * @param leaving whether the name is listed as leaving
	 * @param listedAt when the platform listed the name, in monotonic milliseconds
	 * @param change the sequence number of the change, by which digests select entries
	 */
	private record Listing(boolean leaving, long listedAt, long change) {

	}

}
