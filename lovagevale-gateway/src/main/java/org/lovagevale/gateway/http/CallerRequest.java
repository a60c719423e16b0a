package org.lovagevale.gateway.http;

import io.netty.handler.codec.http.HttpRequest;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.core.catalog.RequestLimits;
import org.lovagevale.core.catalog.Route;
import org.lovagevale.core.limit.LimitDecision;

/**
 * An accepted request of a caller.
 *
 * <p>
 * Immutable, provided that the head is not modified.
 *
 * @param head the head of the request as received
 * @param size the bytes for which the request is accounted
 * @param id the request ID assigned by the caller
 * @param route the route of the request, as it applies to the client account
 * @param account the client account; {@code null} if the request needs no credential
 * @param service the service selected by the traffic split of the route
 * @param limitDecision whether the request is within the rate limit of the account
 * @param limits the limits on requests of callers
 * @param configurationVersion the version of the configuration used to route the request
 * @param caller the address of the caller
 * @param relayed whether an entry VM of another region relayed the request
 * @param arrivedAt the monotonic time at which the head was received, in milliseconds
 * @param deadlineAt the monotonic time at which the caller stops waiting, in
 * milliseconds; {@link #NO_DEADLINE} if the caller states none
 */
record CallerRequest(HttpRequest head, RequestSize size, String id, Route route, @Nullable AccountName account,
		ServiceName service, LimitDecision limitDecision, RequestLimits limits, long configurationVersion,
		String caller, boolean relayed, long arrivedAt, long deadlineAt) {

	/** The deadline of a caller that states none. */
	static final long NO_DEADLINE = Long.MAX_VALUE;

	/**
	 * Returns when the request times out, by its deadline or by the timeout of its route.
	 * @return the monotonic time in milliseconds
	 */
	long timeoutAt() {
		return Math.min(this.deadlineAt, this.arrivedAt + this.route.timeoutMs());
	}

	/**
	 * Returns until when the caller takes a response that has been started. An entry VM
	 * that relays a request states the timeout in place of the deadline of the caller,
	 * which it enforces itself.
	 * @return the monotonic time in milliseconds, or {@link #NO_DEADLINE}
	 */
	long callerWaitsUntil() {
		return this.relayed ? NO_DEADLINE : this.deadlineAt;
	}

	/**
	 * Returns when the latency target of the route is exceeded.
	 * @return the monotonic time in milliseconds
	 */
	long targetAt() {
		return this.arrivedAt + this.route.targetMs();
	}

}
