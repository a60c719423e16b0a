package org.lovagevale.core.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.lovagevale.base.VmName;

/**
 * The entry VMs of a region that are known to exist, alive or not.
 *
 * <p>
 * A limiter uses the part of the share of its region that corresponds to the VMs that it
 * sees, so the parts of a region that cannot reach each other use no more than the whole
 * together. A VM that leaves without saying so counts for {@link #MEMORY_MS}, since it
 * cannot be told from one that cannot be reached. Not thread-safe.
 */
public final class RegionCensus {

	/**
	 * Time for which a VM counts that is not alive, in milliseconds. It is longer than
	 * partitions usually last.
	 */
	static final long MEMORY_MS = 3_600_000;

	/**
	 * Part of the VMs that is enough for the whole share. A VM that failed is usually
	 * replaced within minutes; two parts use at most 1.06 of the share.
	 */
	private static final double ENOUGH = 0.95;

	/**
	 * Smallest part with which a limiter grants. Each bucket holds one token at least, so
	 * there must be few parts; smaller ones decide locally.
	 */
	private static final double MIN_CLAIM = 0.25;

	private final boolean startsAlone;

	private final Map<VmName, Long> seenAt = new HashMap<>();

	private int alive = 1;

	private boolean metOthers;

	/**
	 * Creates a census that knows this VM only.
	 * @param startsAlone whether there may be no other entry VM at all; otherwise this
	 * one knows nothing of the region until it has met another one
	 */
	public RegionCensus(boolean startsAlone) {
		this.startsAlone = startsAlone;
	}

	/**
	 * Records the known VMs except this one.
	 * @param nowAlive the VMs of the region that are alive
	 * @param known all VMs of the region that are known, alive or not
	 * @param leaving the VMs of the region that are leaving
	 * @param now the monotonic time in milliseconds
	 */
	public void observe(Collection<VmName> nowAlive, Collection<VmName> known, Collection<VmName> leaving, long now) {
		for (VmName vm : known) {
			this.seenAt.putIfAbsent(vm, now);
		}
		for (VmName vm : nowAlive) {
			this.seenAt.put(vm, now);
		}
		leaving.forEach(this.seenAt::remove);
		this.seenAt.values().removeIf((at) -> now - at > MEMORY_MS);
		Set<VmName> counted = new HashSet<>(nowAlive);
		counted.removeAll(leaving);
		this.alive = 1 + counted.size();
		this.metOthers |= !nowAlive.isEmpty();
	}

	/**
	 * Records that an entry VM of any region was heard.
	 */
	public void recordContact() {
		this.metOthers = true;
	}

	/**
	 * Returns the number of VMs in the region.
	 * @return the number with this one
	 */
	public int size() {
		return 1 + this.seenAt.size();
	}

	/**
	 * Returns the part of the share of the region that the limiter may use.
	 * @return the part, from {@link #MIN_CLAIM} to 1, or 0 if there must be no limiter
	 */
	public double claim() {
		if (!this.metOthers && !this.startsAlone) {
			return 0;
		}
		double claim = Math.min(1, this.alive / (size() * ENOUGH));
		return (claim >= MIN_CLAIM) ? claim : 0;
	}

}
