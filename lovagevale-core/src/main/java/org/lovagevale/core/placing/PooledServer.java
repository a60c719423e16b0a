package org.lovagevale.core.placing;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.BackendInstance;

/**
 * The state that a dispatcher keeps about one backend server: granted slots, load,
 * ejection and warmup.
 *
 * <p>
 * Not thread-safe.
 */
final class PooledServer {

	/**
	 * Time over which a reported slowness loses its significance, in milliseconds. Other
	 * workloads on the server's machine change its speed several times a second; this is
	 * the shortest expected period.
	 */
	private static final double SLOWNESS_PERIOD_MS = 150;

	/**
	 * Time for which the reported number of requests from other dispatchers is used, in
	 * milliseconds.
	 */
	private static final long REPORT_VALIDITY_MS = 1_000;

	/** Number of responses over which the response time factor is averaged. */
	private static final double SMOOTHING_RESPONSES = 8;

	private static final double MIN_RESPONSE_TIME_FACTOR = 0.5;

	private static final double MAX_RESPONSE_TIME_FACTOR = 20;

	/**
	 * Time for which a server is treated as full after it rejected a request, in
	 * milliseconds.
	 */
	private static final long FULL_AFTER_REJECTION_MS = 120;

	/** Divisor of the slots of a server that has not answered yet. */
	private static final int UNKNOWN_SLOTS_DIVISOR = 3;

	private static final double PERCENT = 100;

	private final Map<SlotId, Grant> grants = new HashMap<>();

	private final ColdRateLimiter coldRateLimiter = new ColdRateLimiter();

	private final Ejection ejection = new Ejection();

	private BackendInstance instance;

	private ServerLoad load = ServerLoad.UNKNOWN;

	private long loadReportedAt = Long.MIN_VALUE;

	private boolean hasAnswered;

	private int otherRequests;

	private long coldUntil;

	private long fullUntil = Long.MIN_VALUE;

	private double responseTimeFactor = 1;

	PooledServer(BackendInstance instance, long now) {
		this.instance = instance;
		this.coldUntil = now + instance.warmupLeftMs();
	}

	BackendInstance instance() {
		return this.instance;
	}

	Ejection ejection() {
		return this.ejection;
	}

	ColdRateLimiter coldRateLimiter() {
		return this.coldRateLimiter;
	}

	void update(BackendInstance next, long now) {
		if (!next.equals(this.instance)) {
			this.coldUntil = Math.max(this.coldUntil, now + next.warmupLeftMs());
		}
		this.instance = next;
	}

	boolean isCold(long now) {
		return now < this.coldUntil;
	}

	void markColdUntil(long untilMs) {
		this.coldUntil = Math.max(this.coldUntil, untilMs);
	}

	void setRemainingWarmup(long leftMs, long now) {
		this.coldUntil = now + leftMs;
	}

	void grant(SlotId id, Grant grant) {
		this.grants.put(id, grant);
	}

	/**
	 * Releases a slot.
	 * @param id the slot request that it was granted to
	 * @return the grant, or {@code null} if it is unknown or expired
	 */
	@Nullable Grant release(SlotId id) {
		return this.grants.remove(id);
	}

	void removeExpiredGrants(long now) {
		this.grants.values().removeIf((grant) -> grant.expiresAt() < now);
	}

	void releaseAllOf(VmName vm) {
		this.grants.keySet().removeIf((id) -> id.vm().equals(vm));
	}

	int grantCount() {
		return this.grants.size();
	}

	/**
	 * Returns the estimated number of requests at the server.
	 * @param now the monotonic time in milliseconds
	 * @return the requests granted here plus the requests from other dispatchers in a
	 * recent load report
	 */
	int outstanding(long now) {
		boolean recent = this.load.isKnown() && now - this.loadReportedAt < REPORT_VALIDITY_MS;
		return this.grants.size() + (recent ? this.otherRequests : 0);
	}

	int slots() {
		return this.load.isKnown() ? Math.max(1, this.load.slots()) : Math.max(1, this.instance.slots());
	}

	/**
	 * Returns the number of slots that may be granted. A server that has not answered yet
	 * may have requests of other dispatchers, such as the predecessor of this one.
	 * @return a part of the slots until the server has answered, then all slots
	 */
	int grantableSlots() {
		return this.hasAnswered ? slots() : (slots() + UNKNOWN_SLOTS_DIVISOR - 1) / UNKNOWN_SLOTS_DIVISOR;
	}

	/**
	 * Tells whether the server has answered a request or a health check.
	 * @return {@code true} if it has
	 */
	boolean hasAnswered() {
		return this.hasAnswered;
	}

	void recordAnswer() {
		this.hasAnswered = true;
	}

	/**
	 * Counts a request that was given up without a response. The server may still have it
	 * until it reports its load.
	 */
	void recordGivenUp() {
		this.otherRequests++;
	}

	boolean isFull(long now) {
		return now < this.fullUntil || outstanding(now) >= slots();
	}

	boolean isLastSlot(long now) {
		return outstanding(now) + 1 >= slots();
	}

	long loadAgeMs(long now) {
		return this.load.isKnown() ? now - this.loadReportedAt : Long.MAX_VALUE;
	}

	/**
	 * Records a load report of the server.
	 * @param next the load report; ignored if {@link ServerLoad#UNKNOWN}
	 * @param now the monotonic time in milliseconds
	 */
	void recordLoad(ServerLoad next, long now) {
		if (!next.isKnown()) {
			return;
		}
		this.load = next;
		this.loadReportedAt = now;
		this.otherRequests = Math.max(0, next.running() + next.waiting() - this.grants.size());
	}

	void recordRejection(long now) {
		this.fullUntil = now + FULL_AFTER_REJECTION_MS;
	}

	/**
	 * Updates the average response time factor from a response.
	 * @param tookMs the response time in milliseconds
	 * @param workMs the usual processing time in milliseconds
	 */
	void recordResponseTime(int tookMs, int workMs) {
		double sample = tookMs / Math.max(1.0, workMs);
		double bounded = Math.max(MIN_RESPONSE_TIME_FACTOR, Math.min(MAX_RESPONSE_TIME_FACTOR, sample));
		this.responseTimeFactor += (bounded - this.responseTimeFactor) / SMOOTHING_RESPONSES;
	}

	double responseTimeFactor() {
		return this.responseTimeFactor;
	}

	/**
	 * Estimates the slowdown of a request that starts now.
	 * @param now the monotonic time in milliseconds
	 * @param average the average factor, which is used when there is no recent report
	 * @return the expected processing time as a factor of the usual time
	 */
	double slowness(long now, double average) {
		if (!this.load.isKnown()) {
			return average;
		}
		double weight = Math.max(0, 1 - (now - this.loadReportedAt) / SLOWNESS_PERIOD_MS);
		return average + (this.load.slownessPercent() / PERCENT - average) * weight;
	}

	/**
	 * Returns the slowness in the last load report.
	 * @return the processing time as a factor of the usual time, 1 if there is no report
	 */
	double reportedSlowness() {
		return this.load.slownessPercent() / PERCENT;
	}

	/**
	 * Tells whether the last load report of the server shows a free slot.
	 * @return {@code false} if it shows none or there is no report
	 */
	boolean reportedFreeSlot() {
		return this.load.isKnown() && this.load.running() < this.load.slots();
	}

	/**
	 * A granted slot.
	 *
	 * @param expiresAt the monotonic time after which the slot counts as released, in
	 * milliseconds
	 * @param lastSlot whether it was the last free slot of the server
	 * @param purpose the purpose of the send for which the slot was granted
	 * @param requestedAt the monotonic time at which the slot was requested, in
	 * milliseconds
	 */
	record Grant(long expiresAt, boolean lastSlot, SendPurpose purpose, long requestedAt) {
	}

}
