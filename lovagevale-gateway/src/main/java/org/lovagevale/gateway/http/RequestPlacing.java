package org.lovagevale.gateway.http;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.catalog.RequestKind;
import org.lovagevale.core.placing.AttemptPolicy;
import org.lovagevale.core.placing.HedgeCandidate;
import org.lovagevale.core.placing.RefusalCause;
import org.lovagevale.core.placing.ServerLoad;
import org.lovagevale.core.placing.SlotId;
import org.lovagevale.core.placing.SlotOutcome;
import org.lovagevale.core.placing.SlotRelease;
import org.lovagevale.core.placing.SlotRequest;
import org.lovagevale.gateway.fleet.SlotGrant;
import org.lovagevale.gateway.fleet.SlotListener;

/**
 * The placing phase of an exchange: finds a server for the request, or an entry VM of
 * another region to relay it to.
 *
 * <p>
 * Invariants: at most one slot request is pending; a granted slot is passed to the
 * listener or released. Confined to the event loop.
 */
final class RequestPlacing implements SlotListener {

	private final ExchangeServices services;

	private final CallerRequest request;

	private final AttemptPolicy policy;

	private final RequestContent content;

	private final PlacingListener listener;

	private final Set<ServerName> triedServers = new HashSet<>();

	private final RelayAttempts relayAttempts = new RelayAttempts();

	private @Nullable SlotId pendingSlotId;

	/** Waits for the end of the pause of a server. */
	private @Nullable ScheduledFuture<?> pauseTimer;

	private @Nullable String lastFailure;

	private long slotRequestedAt;

	RequestPlacing(ExchangeServices services, CallerRequest request, AttemptPolicy policy, RequestContent content,
			PlacingListener listener) {
		this.services = services;
		this.request = request;
		this.policy = policy;
		this.content = content;
		this.listener = listener;
	}

	private long now() {
		return this.services.clock().millis();
	}

	boolean isSlotPending() {
		return this.pendingSlotId != null;
	}

	/**
	 * Tells whether an entry VM of another region may have received the request.
	 * @return {@code true} if the request was relayed to one that could be reached
	 */
	boolean isRelayed() {
		return !this.relayAttempts.triedRegions().isEmpty();
	}

	long slotRequestedAt() {
		return this.slotRequestedAt;
	}

	void recordTried(ServerName server) {
		this.triedServers.add(server);
	}

	/**
	 * Relays the request to another region if it must not be served in this one, and
	 * otherwise requests a slot. Rejects it if it could not be completed before this
	 * process ends.
	 */
	void place() {
		if (!isFinishable()) {
			this.listener.stopping();
			return;
		}
		if (!this.services.relay().isOutsideHomeRegions(this.request) || !tryRelay()) {
			requestSlot();
		}
	}

	/**
	 * Places the request again after a failed attempt.
	 * @param reason the failure
	 */
	void placeAgain(String reason) {
		this.lastFailure = reason;
		place();
	}

	/**
	 * Places the request again after an entry VM could not be reached.
	 * @param region the region of the entry VM
	 * @param reason the failure
	 */
	void relayUnreachable(Region region, String reason) {
		this.relayAttempts.unreachable(region);
		this.lastFailure = reason;
		if (this.relayAttempts.isMovedTo(region) || !tryRelay()) {
			requestSlot();
		}
	}

	/**
	 * Relays the request to a further region after one rejected it.
	 * @param region the region that rejected it
	 * @param retryAfterMs the retry delay that it stated, in milliseconds
	 * @param reason the rejection
	 * @return {@code false} if there is no further region
	 */
	boolean relayRejected(Region region, long retryAfterMs, String reason) {
		this.relayAttempts.rejected(retryAfterMs);
		this.services.relay().rejected(region);
		this.lastFailure = reason;
		if (this.relayAttempts.isMovedTo(region) && this.content.isReplayable()) {
			place();
			return true;
		}
		return this.content.isReplayable() && tryRelay();
	}

	/**
	 * Returns the retry delay after the rejections by other regions.
	 * @param defaultMs the delay if none was stated, in milliseconds
	 * @return the delay in milliseconds
	 */
	int relayRetryAfterMs(int defaultMs) {
		return this.relayAttempts.retryAfterMs(defaultMs);
	}

	/**
	 * Relays the request to an entry VM of another region.
	 * @return {@code false} if there is no entry VM to relay to
	 */
	private boolean tryRelay() {
		BackendInstance entry = (this.relayAttempts.isExhausted() || !isFinishable()) ? null
				: this.services.relay().findEntryVm(this.request, this.relayAttempts.triedRegions());
		if (entry == null) {
			return false;
		}
		this.relayAttempts.started(entry.region());
		this.listener.placed(null, entry);
		return true;
	}

	private Set<Region> overflowRegions() {
		boolean movable = this.services.settings().limits().regionOverflow() && this.policy.totalSends() == 0
				&& this.content.isReplayable() && !this.relayAttempts.isExhausted();
		return movable ? this.services.relay().overflowRegions(this.request, this.relayAttempts.triedRegions())
				: Set.of();
	}

	@Override
	public void moved(Region region) {
		this.pendingSlotId = null;
		this.services.metrics().countRefusal(this.request.service().value(), RefusalCause.OTHER_REGION.name());
		if (this.listener.isDone()) {
			return;
		}
		this.relayAttempts.moved(region);
		BackendInstance entry = isFinishable() ? this.services.relay().findEntryVmIn(this.request, region) : null;
		if (entry != null) {
			this.listener.placed(null, entry);
		}
		else {
			place();
		}
	}

	// This process itself places a request on a server of another region only if no entry
	// VM of that region can place it.
	private boolean isLocalOnly() {
		return this.request.relayed() || !this.services.relay().isOutsideHomeRegions(this.request)
				&& (this.relayAttempts.isRejected() || this.services.relay().hasCandidateRegion(this.request));
	}

	private void requestSlot() {
		long now = now();
		SlotId id = this.services.slots().nextId();
		this.pendingSlotId = id;
		this.slotRequestedAt = now;
		int workMs = this.services.estimates().forRoute(this.request.route()).millis();
		Set<ServerName> excluded = new HashSet<>(this.triedServers);
		excluded.addAll(pausedServers().keySet());
		this.services.slots()
			.requestSlot(new SlotRequest(id, this.request.service(), this.services.settings().domain(),
					this.request.route().homeRegions(), isLocalOnly(), this.request.route().priority(),
					this.request.route().kind() == RequestKind.DOWNLOAD, this.policy.nextPurpose(), workMs,
					(int) (this.request.targetAt() - now), (int) (this.request.timeoutAt() - now), excluded,
					this.content.fingerprint(), this.request.route().name(), (int) this.content.size(),
					overflowRegions(), isHedgeable(now)), this);
	}

	// The transfer of a large response takes longer than the work that is hedged.
	private boolean isHedgeable(long now) {
		boolean resendable = this.content.isComplete() && this.content.isReplayable();
		HedgeCandidate candidate = new HedgeCandidate(this.request.route().kind().isRepeatable(), resendable,
				this.policy.totalSends() + 1, 1, this.request.route().maxAttempts(), 0, this.request.timeoutAt() - now);
		return candidate.isHedgeable() && this.request.route().kind() != RequestKind.DOWNLOAD
				&& !this.request.relayed();
	}

	/**
	 * Cancels the pending slot request and the wait for a server, if any.
	 */
	void cancel() {
		ScheduledFuture<?> pause = this.pauseTimer;
		if (pause != null) {
			pause.cancel(false);
		}
		SlotId slotId = this.pendingSlotId;
		if (slotId != null) {
			this.services.slots().cancel(slotId);
			this.pendingSlotId = null;
		}
	}

	// Other entry VMs may go on using these servers, so their dispatcher does not know.
	private Map<ServerName, Long> pausedServers() {
		return this.services.announcements()
			.paused(this.request.service(), (name) -> this.services.catalog().server(name));
	}

	@Override
	public void granted(SlotGrant grant) {
		this.pendingSlotId = null;
		this.services.metrics().recordSlotWait(this.request.service().value(), now() - this.slotRequestedAt);
		if (this.listener.isDone()) {
			releaseUnused(grant);
			return;
		}
		if (!isFinishable()) {
			releaseUnused(grant);
			this.listener.stopping();
			return;
		}
		BackendInstance server = this.services.catalog().server(grant.server());
		if (server == null || server.draining() || this.services.announcements().isLeaving(server)) {
			this.triedServers.add(grant.server());
			releaseUnused(grant);
			this.listener.serverUnusable("server " + grant.server() + " is not listed here or leaving");
			return;
		}
		if (!this.services.announcements().isAvailable(server)) {
			releaseUnused(grant);
			this.listener.serverUnusable("server " + grant.server() + " is paused");
			return;
		}
		this.listener.placed(grant, server);
	}

	@Override
	public boolean hedgeOffered(SlotGrant grant) {
		BackendInstance server = this.services.catalog().server(grant.server());
		return server != null && !server.draining() && !this.triedServers.contains(server.id())
				&& this.services.announcements().isAvailable(server) && this.listener.hedgeOffered(grant, server);
	}

	@Override
	public void refused(RefusalCause cause, int retryAfterMs) {
		this.pendingSlotId = null;
		this.services.metrics().countRefusal(this.request.service().value(), cause.name());
		if (!this.listener.isDone()) {
			String failure = this.lastFailure;
			String reason = cause + ", retry after " + retryAfterMs + " ms";
			if (mayOverflow(cause)) {
				this.relayAttempts.rejected(retryAfterMs);
				this.lastFailure = reason;
				if (tryRelay()) {
					return;
				}
			}
			long pauseLeftMs = firstPauseLeftMs();
			if (cause == RefusalCause.NO_SERVER && pauseLeftMs > 0) {
				awaitPauseEnd(pauseLeftMs, reason);
				return;
			}
			this.listener.notPlaced((failure != null) ? reason + ", after " + failure : reason, retryAfterMs);
		}
	}

	/**
	 * Returns the time until the first pause ends of a server that the request may be
	 * sent to.
	 * @return the time in milliseconds, 0 if there is no such server
	 */
	private long firstPauseLeftMs() {
		return pausedServers().entrySet()
			.stream()
			.filter((entry) -> isPermitted(entry.getKey()))
			.mapToLong(Map.Entry::getValue)
			.min()
			.orElse(0);
	}

	private boolean isPermitted(ServerName id) {
		BackendInstance server = this.services.catalog().server(id);
		return server != null && !this.triedServers.contains(id) && !server.draining()
				&& !this.services.announcements().isLeaving(server)
				&& !this.services.catalog().catalog().evacuated().contains(server.domain())
				&& this.request.route().isAllowedIn(server.region())
				&& (!isLocalOnly() || server.region().equals(this.services.roster().self().region()));
	}

	// All servers are paused. The request waits for the first one if there is time enough
	// to run it then, and is otherwise rejected at once.
	private void awaitPauseEnd(long pauseLeftMs, String reason) {
		int workMs = this.services.estimates().forRoute(this.request.route()).millis();
		if (now() + pauseLeftMs + workMs > this.request.timeoutAt()) {
			this.listener.notPlaced(reason, (int) pauseLeftMs);
			return;
		}
		this.pauseTimer = this.services.loop().schedule(() -> {
			if (!this.listener.isDone() && !this.listener.hasAttempt() && this.pendingSlotId == null) {
				place();
			}
		}, pauseLeftMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Tells whether a request for which this region has no capacity may be relayed. If
	 * dispatchers move requests to other regions, a rejection for overload is final.
	 * @param cause the reason for which no slot was granted
	 * @return {@code true} if another region may serve the request
	 */
	private boolean mayOverflow(RefusalCause cause) {
		boolean overload = cause == RefusalCause.OVERLOAD && !this.services.settings().limits().regionOverflow()
				&& this.request.route().kind() != RequestKind.DOWNLOAD;
		return (overload || cause == RefusalCause.NO_SERVER) && this.policy.sends() == 0
				&& !this.services.relay().isOutsideHomeRegions(this.request) && this.content.isReplayable();
	}

	/**
	 * Tells whether the request will be over before a planned stop of this process ends.
	 * @return {@code true} if it will, or if no planned stop is in progress
	 */
	boolean isFinishable() {
		return this.services.plannedStop()
			.allows(now(), this.request.timeoutAt() + Exchange.TIMEOUT_SLACK_MS,
					this.services.estimates().forRoute(this.request.route()).millis());
	}

	private void releaseUnused(SlotGrant grant) {
		release(grant, SlotOutcome.UNUSED, ServerLoad.UNKNOWN, 0);
	}

	/**
	 * Releases a slot.
	 * @param grant the slot
	 * @param outcome the outcome of the request that used it
	 * @param load the load that the server reported
	 * @param tookMs the time from sending to the outcome, in milliseconds
	 */
	void release(SlotGrant grant, SlotOutcome outcome, ServerLoad load, int tookMs) {
		this.services.slots()
			.release(grant, new SlotRelease(grant.request().id(), grant.server(), outcome, tookMs,
					grant.request().workMs(), load, this.content.fingerprint()));
	}

}
