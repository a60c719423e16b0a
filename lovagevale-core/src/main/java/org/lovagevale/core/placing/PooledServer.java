package org.lovagevale.core.placing;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.BackendInstance;

/**
 * What a dispatcher knows of one backend server.
 *
 * <p>
 * Not thread-safe.
 */
final class PooledServer {

	/**
	 * Other users of the machine change how long work takes several times a second; the
	 * shortest such period that is expected, in milliseconds.
	 */
	private static final double SLOWNESS_PERIOD_MS = 150;

	/** A report of requests of others counts for this long, in milliseconds. */
	private static final long REPORT_VALIDITY_MS = 1_000;

	private static final double RESPONSE_TIME_SMOOTHING = 8;

	private static final double MIN_RESPONSE_TIME_FACTOR = 0.5;

	private static final double MAX_RESPONSE_TIME_FACTOR = 20;

	/** A server that sheds is treated as full for this long, in milliseconds. */
	private static final long FULL_AFTER_REJECTION_MS = 120;

	private static final double PERCENT = 100;

	private final Map<SlotId, Grant> grants = new HashMap<>();

	private final ColdRateLimiter coldRateLimiter = new ColdRateLimiter();

	private final Ejection ejection = new Ejection();

	private BackendInstance instance;

	private ServerLoad load = ServerLoad.UNKNOWN;

	private long loadReportedAt = Long.MIN_VALUE;

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

	void setWarmupLeft(long leftMs, long now) {
		this.coldUntil = now + leftMs;
	}

	void grant(SlotId id, long until, boolean lastSlot) {
		this.grants.put(id, new Grant(until, lastSlot));
	}

	/**
	 * Gives back a slot.
	 * @param id the question it was given to
	 * @return the slot, or {@code null} if it is not known here
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
	 * Returns the requests that are probably at the server.
	 * @param now the monotonic time in milliseconds
	 * @return those granted here and those of others that it reported lately
	 */
	int outstanding(long now) {
		boolean fresh = this.load.isKnown() && now - this.loadReportedAt < REPORT_VALIDITY_MS;
		return this.grants.size() + (fresh ? this.otherRequests : 0);
	}

	int slots() {
		return this.load.isKnown() ? Math.max(1, this.load.slots()) : Math.max(1, this.instance.slots());
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
	 * Takes a report of the server.
	 * @param next the report
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
	 * Learns from the time a request took.
	 * @param tookMs the time in milliseconds
	 * @param workMs the usual time in milliseconds
	 */
	void recordResponseTime(int tookMs, int workMs) {
		double sample = tookMs / Math.max(1.0, workMs);
		double bounded = Math.max(MIN_RESPONSE_TIME_FACTOR, Math.min(MAX_RESPONSE_TIME_FACTOR, sample));
		this.responseTimeFactor += (bounded - this.responseTimeFactor) / RESPONSE_TIME_SMOOTHING;
	}

	double responseTimeFactor() {
		return this.responseTimeFactor;
	}

	/**
	 * Estimates how much longer than usual work takes that begins now.
	 * @param now the monotonic time in milliseconds
	 * @param average what to expect when nothing fresh is known
	 * @return a factor of the usual time
	 */
	double slowness(long now, double average) {
		if (!this.load.isKnown()) {
			return average;
		}
		double trust = Math.max(0, 1 - (now - this.loadReportedAt) / SLOWNESS_PERIOD_MS);
		return average + (this.load.slownessPercent() / PERCENT - average) * trust;
	}

	/**
	 * Tells whether the server itself reported a free slot just now.
	 * @return {@code false} if it reported none or nothing
	 */
	boolean reportedFreeSlot() {
		return this.load.isKnown() && this.load.running() < this.load.slots();
	}

	/**
	 * A slot that was given.
	 *
	 * @param expiresAt the monotonic time after which it counts as given back, in ms
	 * @param lastSlot whether it was the last free one
	 */
	record Grant(long expiresAt, boolean lastSlot) {
	}

}
