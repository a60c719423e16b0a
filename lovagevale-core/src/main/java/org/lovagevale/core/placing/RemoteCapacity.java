package org.lovagevale.core.placing;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Region;

/**
 * The capacity of a service in other regions, as their dispatchers reported it last.
 *
 * <p>
 * Invariant: a report that is older than {@link #MAX_AGE_MS} is not used. Not
 * thread-safe.
 */
final class RemoteCapacity {

	/** Maximum age of a report, in milliseconds; longer than its longest interval. */
	static final long MAX_AGE_MS = 1_500;

	private final Map<Region, Report> reports = new HashMap<>();

	void record(Region region, RegionCapacity capacity, long reportedAt) {
		Report known = this.reports.get(region);
		if (known == null || known.reportedAt <= reportedAt) {
			this.reports.put(region, new Report(capacity, reportedAt));
		}
	}

	/**
	 * Returns the last report of a region.
	 * @param region the region
	 * @param now the monotonic time in milliseconds
	 * @return the capacity, or {@code null} if there is no recent report
	 */
	@Nullable RegionCapacity find(Region region, long now) {
		Report report = this.reports.get(region);
		return (report == null || now - report.reportedAt > MAX_AGE_MS) ? null : report.capacity;
	}

	/**
	 * Returns the recent reports.
	 * @param now the monotonic time in milliseconds
	 * @return the capacity by region
	 */
	Map<Region, RegionCapacity> recent(long now) {
		this.reports.values().removeIf((report) -> now - report.reportedAt > MAX_AGE_MS);
		Map<Region, RegionCapacity> recent = new HashMap<>();
		this.reports.forEach((region, report) -> recent.put(region, report.capacity));
		return recent;
	}

	/**
	 * A report of a region.
	 *
	 * @param capacity the capacity
	 * @param reportedAt the monotonic time to which it applies, in milliseconds
	 */
	private record Report(RegionCapacity capacity, long reportedAt) {
	}

}
