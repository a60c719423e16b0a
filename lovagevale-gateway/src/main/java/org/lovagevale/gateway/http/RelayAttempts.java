package org.lovagevale.gateway.http;

import java.util.HashSet;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Region;
import org.lovagevale.core.placing.SlotOutcome;

/**
 * Tracks the attempts to relay a request to entry VMs of other regions.
 *
 * <p>
 * Invariant: each region rejects a request at most once. The caller is told the shortest
 * retry delay of all rejections, since it may retry as soon as the first region has
 * capacity. Confined to the event loop.
 */
final class RelayAttempts {

	/**
	 * Number of unreachable entry VMs after which this process places the request itself.
	 */
	private static final int MAX_UNREACHABLE_ENTRY_VMS = 2;

	private static final int BAD_REQUEST = 400;

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	private static final int INTERNAL_ERROR = 500;

	private final Set<Region> triedRegions = new HashSet<>();

	private @Nullable Region movedTo;

	private int unreachable;

	private int rejections;

	private long retryAfterMs = -1;

	/**
	 * Classifies a response that an entry VM generated itself, that is, one that is not
	 * signed by a backend server.
	 * @param status the HTTP status
	 * @return {@link SlotOutcome#FAILED} if a server may have run the request, otherwise
	 * {@link SlotOutcome#NOT_EXECUTED}
	 */
	static SlotOutcome outcomeOf(int status) {
		return switch (status) {
			case INTERNAL_ERROR, BAD_GATEWAY, GATEWAY_TIMEOUT -> SlotOutcome.FAILED;
			default -> (status < BAD_REQUEST) ? SlotOutcome.FAILED : SlotOutcome.NOT_EXECUTED;
		};
	}

	void started(Region region) {
		this.triedRegions.add(region);
	}

	/**
	 * Records that the dispatcher moved the request to a region. If that does not take it
	 * over, the request returns to the dispatcher.
	 * @param region the region
	 */
	void moved(Region region) {
		this.triedRegions.add(region);
		this.movedTo = region;
	}

	boolean isMovedTo(Region region) {
		return region.equals(this.movedTo);
	}

	void unreachable(Region region) {
		this.unreachable++;
		this.triedRegions.remove(region);
	}

	void rejected(long delayMs) {
		this.rejections++;
		this.retryAfterMs = (this.retryAfterMs < 0) ? delayMs : Math.min(this.retryAfterMs, delayMs);
	}

	/**
	 * Tells whether any region rejected the request.
	 * @return {@code true} if at least one region did
	 */
	boolean isRejected() {
		return this.rejections > 0;
	}

	boolean isExhausted() {
		return this.unreachable >= MAX_UNREACHABLE_ENTRY_VMS;
	}

	Set<Region> triedRegions() {
		return this.triedRegions;
	}

	int retryAfterMs(int defaultMs) {
		return (this.retryAfterMs >= 0) ? (int) Math.min(Integer.MAX_VALUE, this.retryAfterMs) : defaultMs;
	}

}
