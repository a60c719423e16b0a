package org.lovagevale.core.placing;

import java.util.Set;
import java.util.function.Supplier;

import org.lovagevale.base.Region;
import org.lovagevale.core.fleet.RendezvousHash;

/**
 * Tells when it is the turn of this region to try a quarantined request, so that regions
 * that know of each other do not try it at the same time.
 */
@FunctionalInterface
public interface TrialOrder {

	/** The order of a process that knows no other region. */
	TrialOrder ONLY_REGION = (fingerprint) -> new Turn(0, 1);

	/**
	 * Returns the turn of this region.
	 * @param fingerprint the fingerprint of the request
	 * @return the turn
	 */
	Turn turn(long fingerprint);

	/**
	 * Returns an order that differs from request to request.
	 * @param own the region of this process
	 * @param others returns the other regions that are known at present
	 * @return the order
	 */
	static TrialOrder among(Region own, Supplier<Set<Region>> others) {
		return (fingerprint) -> {
			String item = Long.toHexString(fingerprint);
			long ownScore = RendezvousHash.score(item, own.value());
			Set<Region> known = others.get();
			int before = (int) known.stream().filter((other) -> {
				long score = RendezvousHash.score(item, other.value());
				return score > ownScore || score == ownScore && other.compareTo(own) < 0;
			}).count();
			return new Turn(before, known.size() + 1);
		};
	}

	/**
	 * The turn of a region.
	 *
	 * @param before the number of regions whose turn comes before
	 * @param regions the number of regions
	 */
	record Turn(int before, int regions) {
	}

}
