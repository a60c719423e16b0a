package org.lovagevale.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.lovagevale.base.AccountName;
import org.lovagevale.base.Region;
import org.lovagevale.core.message.AccountDemand;
import org.lovagevale.core.message.DemandEntry;
import org.lovagevale.core.message.HeardReport;

/**
 * The share of the limit of each account that the limiter of one region may use.
 *
 * <p>
 * Invariant: the shares of all regions add up to at most 1, apart from the time until all
 * have noticed a loss of connection. For its own demand, a region uses the lowest figure
 * that another region may still hold of it, which follows from the acknowledgements in
 * their reports. So the sum by which each region divides is at least the sum of the
 * figures that all regions use for themselves. Not thread-safe.
 */
final class RegionShares {

	/**
	 * Time without a report of a region after which it counts as not connected, in
	 * milliseconds. It is more than twice the longest interval between reports.
	 */
	static final long SILENCE_MS = 1_300;

	/**
	 * Time without a connection after which the share rises to that of isolated regions,
	 * in milliseconds. By then the others have noticed and use no more than that.
	 */
	static final long ISOLATION_MS = 2 * SILENCE_MS;

	/** Share of all regions together that does not depend on demand. */
	private static final double FIXED_SHARE = 0.02;

	/** Share of all regions together if they are isolated. */
	private static final double ISOLATED_SHARE = 0.9;

	/**
	 * Maximum number of own reports that are remembered, more than those sent until a
	 * region that does not acknowledge them counts as not connected.
	 */
	private static final int MAX_SENT_REPORTS = 16;

	/** Bits of a sequence that count the reports of one limiter. */
	private static final int COUNT_BITS = 32;

	private final Region self;

	private final int regions;

	private final Map<Region, ReceivedReport> received = new HashMap<>();

	private final ArrayDeque<SentReport> sent = new ArrayDeque<>();

	private final Map<AccountName, Double> shares = new HashMap<>();

	private long sequence;

	private boolean connected;

	/** Whether the connection is complete and the others have noticed. */
	private boolean byDemand;

	private long changedAt;

	/**
	 * Creates the shares of a region that is not connected.
	 * @param self the region
	 * @param regions the number of regions
	 * @param sequence the number of the last report of this process
	 * @param now the monotonic time in milliseconds
	 */
	RegionShares(Region self, int regions, long sequence, long now) {
		this.self = self;
		this.regions = regions;
		this.sequence = sequence;
		this.changedAt = now;
	}

	long sequence() {
		return this.sequence;
	}

	boolean isConnected() {
		return this.connected || this.regions == 1;
	}

	/**
	 * Tells whether all other regions were heard. A report before that would tell them
	 * that the connection is lost.
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if they were
	 */
	boolean hasHeardAll(long now) {
		return this.received.size() == this.regions - 1
				&& this.received.values().stream().allMatch((report) -> report.isFresh(now));
	}

	/**
	 * Creates the next report to the other regions.
	 * @param demand the demand by account, in requests per 100 seconds
	 * @param now the monotonic time in milliseconds
	 * @return the report
	 */
	AccountDemand report(Map<AccountName, Integer> demand, long now) {
		this.sequence++;
		this.sent.addLast(new SentReport(this.sequence, Map.copyOf(demand)));
		if (this.sent.size() > MAX_SENT_REPORTS) {
			this.sent.removeFirst();
		}
		List<HeardReport> heard = new ArrayList<>();
		this.received.forEach((region, report) -> {
			if (report.isFresh(now)) {
				heard.add(new HeardReport(region.value(), report.sequence()));
			}
		});
		heard.sort(Comparator.comparing(HeardReport::region));
		List<DemandEntry> entries = demand.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > 0)
			.map((entry) -> new DemandEntry(entry.getKey().value(), entry.getValue()))
			.sorted(Comparator.comparing(DemandEntry::account))
			.toList();
		return new AccountDemand(this.self.value(), this.sequence, this.byDemand, heard, entries);
	}

	/**
	 * Records a report of another region. One that precedes the last one of the same
	 * limiter is ignored.
	 * @param report the report
	 * @param now the monotonic time in milliseconds
	 * @throws IllegalArgumentException if a name is invalid or there are more regions
	 * than configured
	 */
	void receive(AccountDemand report, long now) {
		Region region = new Region(report.region());
		if (region.equals(this.self)) {
			return;
		}
		ReceivedReport last = this.received.get(region);
		if (last == null && this.received.size() >= this.regions - 1) {
			throw new IllegalArgumentException("more than " + this.regions + " regions: " + region);
		}
		boolean sameLimiter = last != null && last.sequence() >> COUNT_BITS == report.sequence() >> COUNT_BITS;
		if (last != null && sameLimiter && report.sequence() <= last.sequence()) {
			return;
		}
		Map<AccountName, Integer> demand = new HashMap<>();
		for (DemandEntry entry : report.demands()) {
			demand.put(new AccountName(entry.account()), Math.max(0, entry.requestsPer100Seconds()));
		}
		Map<Region, Long> heard = report.heard()
			.stream()
			.collect(Collectors.toMap((entry) -> new Region(entry.region()), HeardReport::sequence, Math::max));
		this.received.put(region, new ReceivedReport(report.sequence(), report.byDemand(), demand, heard, now));
	}

	/**
	 * Computes the shares.
	 * @param accounts the accounts with a limit
	 * @param now the monotonic time in milliseconds
	 */
	void update(Collection<AccountName> accounts, long now) {
		boolean nowConnected = areAllConnected(now);
		if (nowConnected != this.connected) {
			this.connected = nowConnected;
			this.changedAt = now;
			this.byDemand = false;
		}
		// If all others already divide by demand, none of them uses an isolated share.
		boolean othersByDemand = this.received.values().stream().allMatch(ReceivedReport::byDemand);
		if (nowConnected && (othersByDemand || now - this.changedAt >= SILENCE_MS)) {
			this.byDemand = true;
		}
		this.shares.keySet().retainAll(Set.copyOf(accounts));
		for (AccountName account : accounts) {
			this.shares.put(account, compute(account, now));
		}
	}

	/**
	 * Returns the share of this region.
	 * @param account the account
	 * @return the share, 0 if it was not computed yet
	 */
	double share(AccountName account) {
		return this.shares.getOrDefault(account, 0.0);
	}

	private double compute(AccountName account, long now) {
		if (this.regions == 1) {
			return 1;
		}
		double isolated = ISOLATED_SHARE / this.regions;
		long elapsedMs = now - this.changedAt;
		if (this.connected) {
			double share = shareByDemand(account);
			return this.byDemand ? share : Math.min(isolated, share);
		}
		if (elapsedMs >= ISOLATION_MS) {
			return isolated;
		}
		return Math.min(isolated, this.shares.getOrDefault(account, isolated));
	}

	private double shareByDemand(AccountName account) {
		double own = lowestUnsettled(account);
		double others = 0;
		for (ReceivedReport report : this.received.values()) {
			others += report.demand().getOrDefault(account, 0);
		}
		if (own + others == 0) {
			return 1.0 / this.regions;
		}
		return FIXED_SHARE / this.regions + (1 - FIXED_SHARE) * own / (own + others);
	}

	// A region holds the report that it acknowledged, or a later one.
	private int lowestUnsettled(AccountName account) {
		long oldest = this.received.values().stream().mapToLong(this::acknowledged).min().orElse(Long.MAX_VALUE);
		return this.sent.stream()
			.filter((report) -> report.sequence() >= oldest)
			.mapToInt((report) -> report.demand().getOrDefault(account, 0))
			.min()
			.orElse(0);
	}

	private long acknowledged(ReceivedReport report) {
		return report.heard().getOrDefault(this.self, Long.MIN_VALUE);
	}

	private boolean areAllConnected(long now) {
		return this.received.size() == this.regions - 1 && this.received.values()
			.stream()
			.allMatch((report) -> report.isFresh(now) && report.heard().size() >= this.regions - 1
					&& isRemembered(acknowledged(report)));
	}

	private boolean isRemembered(long number) {
		return this.sent.stream().anyMatch((report) -> report.sequence() == number);
	}

	/**
	 * A report of this region.
	 *
	 * @param sequence its number
	 * @param demand the demand by account, in requests per 100 seconds
	 */
	private record SentReport(long sequence, Map<AccountName, Integer> demand) {
	}

	/**
	 * The last report of another region.
	 *
	 * @param sequence its number
	 * @param byDemand whether the region uses its share by demand
	 * @param demand the demand by account, in requests per 100 seconds
	 * @param heard the reports that the region has received from others
	 * @param receivedAt the monotonic time in milliseconds
	 */
	private record ReceivedReport(long sequence, boolean byDemand, Map<AccountName, Integer> demand,
			Map<Region, Long> heard, long receivedAt) {

		private boolean isFresh(long now) {
			return now - this.receivedAt < SILENCE_MS;
		}

	}

}
