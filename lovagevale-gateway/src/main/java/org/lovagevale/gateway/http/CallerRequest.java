package org.lovagevale.gateway.http;

import io.netty.handler.codec.http.HttpRequest;
import org.lovagevale.base.ServiceName;
import org.lovagevale.core.catalog.RequestLimits;
import org.lovagevale.core.catalog.Route;

/**
 * A request that was accepted from a caller.
 *
 * <p>
 * Immutable as far as the head is not changed.
 *
 * @param head the head as it was received
 * @param id the identity that the caller gave it
 * @param route its route
 * @param service the service that its traffic share fell to
 * @param limits what callers may send
 * @param configurationVersion the version of the configuration that decided
 * @param caller the address of the caller
 * @param relayed whether an entry VM of another region passed it on
 * @param arrivedAt the monotonic time of its head in milliseconds
 * @param deadlineAt the monotonic time at which the caller stops waiting
 */
record CallerRequest(HttpRequest head, String id, Route route, ServiceName service, RequestLimits limits,
		long configurationVersion, String caller, boolean relayed, long arrivedAt, long deadlineAt) {

	long timeoutAt() {
		return Math.min(this.deadlineAt, this.arrivedAt + this.route.timeoutMs());
	}

	long targetAt() {
		return this.arrivedAt + this.route.targetMs();
	}

}
