package org.lovagevale.gateway.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.LogLine;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.message.RegionMessage;
import org.lovagevale.core.message.ServerLeaving;
import org.lovagevale.core.message.SlotAsk;
import org.lovagevale.core.message.SlotCancelled;
import org.lovagevale.core.message.SlotGranted;
import org.lovagevale.core.message.SlotOffered;
import org.lovagevale.core.message.SlotQueued;
import org.lovagevale.core.message.SlotRefused;
import org.lovagevale.core.message.SlotReturned;
import org.lovagevale.core.placing.HedgeRefusal;
import org.lovagevale.core.placing.RefusalCause;
import org.lovagevale.core.placing.ServerLoad;
import org.lovagevale.core.placing.ServerRun;
import org.lovagevale.core.placing.SlotDispatcher;
import org.lovagevale.core.placing.SlotId;
import org.lovagevale.core.placing.SlotOutcome;
import org.lovagevale.core.placing.SlotRelease;
import org.lovagevale.core.placing.SlotReplies;
import org.lovagevale.core.placing.SlotRequest;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.core.roster.RosterPhase;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests slots from the entry process that is the dispatcher of a service, and runs the
 * dispatcher of this process, which decides on its own requests and on those of other
 * processes.
 *
 * <p>
 * Invariant: a listener is called at most once. A request that the responsible process
 * does not confirm within {@link #CONFIRMATION_TIMEOUT_MS} is decided by the dispatcher
 * of this process, with the load reports that are known here. A second slot is passed on
 * only while the first one is in use, and released otherwise. Not thread-safe; all
 * methods must be called on the event loop.
 */
public final class SlotClient implements SlotReplies {

	/**
	 * Time within which a dispatcher must confirm a request, in milliseconds. It is
	 * several times the latency of a message within a region.
	 */
	static final long CONFIRMATION_TIMEOUT_MS = 60;

	/**
	 * Time for which no requests are sent to a dispatcher that did not confirm one in
	 * time, in milliseconds.
	 */
	private static final long BYPASS_MS = 700;

	/**
	 * Bits of a request number that count the requests of one run. The bits above are
	 * random, so that a late reply to an earlier run of this process is not taken for the
	 * reply to a request of this one.
	 */
	private static final int REQUEST_COUNT_BITS = 32;

	private static final Logger LOGGER = LoggerFactory.getLogger(SlotClient.class);

	private final Clock clock;

	private final Roster roster;

	private final RegionMessageSender sender;

	private final SlotDispatcher dispatcher;

	private final Map<Long, PendingRequest> pending = new HashMap<>();

	/** The slots in use of the requests that may be hedged, by number. */
	private final Map<Long, HedgeableGrant> hedgeableGrants = new HashMap<>();

	private final Map<VmName, Long> bypassedUntil = new HashMap<>();

	private Runnable waitingListener = () -> {
	};

	private Consumer<ServerName> loadListener = (server) -> {
	};

	private HedgeObserver hedgeObserver = HedgeObserver.NONE;

	private long lastRequestNumber;

	/**
	 * Creates a client.
	 * @param clock the source of the current time
	 * @param roster the known entry processes; determines the dispatcher of a service
	 * @param sender sends messages to other entry processes
	 * @param dispatcherFactory creates the dispatcher of this process, given the receiver
	 * of its decisions
	 */
	public SlotClient(Clock clock, Roster roster, RegionMessageSender sender,
			Function<SlotReplies, SlotDispatcher> dispatcherFactory) {
		this.clock = clock;
		this.roster = roster;
		this.sender = sender;
		this.dispatcher = dispatcherFactory.apply(this);
		this.lastRequestNumber = (long) (roster.self().incarnation().salt() & Integer.MAX_VALUE) << REQUEST_COUNT_BITS;
	}

	/**
	 * Returns the dispatcher of this process.
	 * @return the dispatcher
	 */
	public SlotDispatcher dispatcher() {
		return this.dispatcher;
	}

	/**
	 * Returns an identity for a new request.
	 * @return an identity that neither this run of the process nor an earlier one has
	 * used
	 */
	public SlotId nextId() {
		return new SlotId(this.roster.self().vm(), ++this.lastRequestNumber);
	}

	/**
	 * Requests a slot from the dispatcher of the service.
	 * @param request the request
	 * @param listener receives the decision
	 */
	public void requestSlot(SlotRequest request, SlotListener listener) {
		RosterMember target = this.roster.dispatcher(request.service());
		Long bypassEnd = this.bypassedUntil.get(target.vm());
		boolean bypassed = bypassEnd != null && this.clock.millis() < bypassEnd;
		PendingRequest pendingRequest = new PendingRequest(request, listener, this.clock.millis());
		this.pending.put(request.id().number(), pendingRequest);
		if (bypassed || target.vm().equals(this.roster.self().vm())) {
			decideLocally(pendingRequest);
			return;
		}
		pendingRequest.dispatcherVm = target.vm();
		send(target.vm(), SlotMessages.toMessage(request));
		this.waitingListener.run();
	}

	private void decideLocally(PendingRequest pendingRequest) {
		pendingRequest.dispatcherVm = this.roster.self().vm();
		pendingRequest.confirmed = true;
		this.dispatcher.requestSlot(pendingRequest.request);
		notifyIfWaiting();
	}

	private void notifyIfWaiting() {
		if (this.dispatcher.isTickNeeded()) {
			this.waitingListener.run();
		}
	}

	/**
	 * Sets the listener that is called when requests are waiting or may be hedged, so
	 * that {@link #tick()} and {@link SlotDispatcher#tick()} must be called periodically.
	 * @param listener the listener, called on the event loop
	 */
	public void onWaiting(Runnable listener) {
		this.waitingListener = listener;
	}

	/**
	 * Cancels a request; its listener is no longer called.
	 * @param id the identity of the request
	 */
	public void cancel(SlotId id) {
		PendingRequest pendingRequest = this.pending.remove(id.number());
		if (pendingRequest == null) {
			return;
		}
		if (isSelf(pendingRequest.dispatcherVm)) {
			this.dispatcher.cancel(id);
		}
		else if (pendingRequest.dispatcherVm != null) {
			send(pendingRequest.dispatcherVm, new SlotCancelled(id.number()));
		}
	}

	/**
	 * Releases a slot to the dispatcher that granted it.
	 * @param grant the slot
	 * @param release the outcome of the request that used the slot
	 */
	public void release(SlotGrant grant, SlotRelease release) {
		HedgeableGrant open = this.hedgeableGrants.get(release.id().number());
		if (open != null && open.grant().server().equals(release.server())) {
			this.hedgeableGrants.remove(release.id().number());
		}
		if (isSelf(grant.dispatcher())) {
			this.dispatcher.release(release);
			return;
		}
		this.dispatcher.recordLoad(release.server(), release.load());
		send(grant.dispatcher(), SlotMessages.toMessage(release));
	}

	/**
	 * Reports a server that has announced its leaving in a response to this process. The
	 * report goes to the dispatcher of the service at once, also while that is bypassed,
	 * and from there to the other entry VMs of the region.
	 * @param server the run of the server
	 */
	public void reportLeaving(BackendInstance server) {
		VmName target = this.roster.dispatcher(server.service()).vm();
		if (isSelf(target)) {
			reportToRegion();
		}
		else {
			sendLeavingReports(target);
		}
	}

	// Each VM may place requests by itself while it bypasses this one.
	private void reportToRegion() {
		for (RosterMember member : this.roster.alive()) {
			if (!isSelf(member.vm())) {
				sendLeavingReports(member.vm());
			}
		}
	}

	private void sendLeavingReports(VmName to) {
		for (ServerRun run : this.dispatcher.leavingReports().takeDue(to)) {
			this.sender.send(to, new ServerLeaving(run.server().value(), run.startedAtEpochMs()));
		}
	}

	// Reports precede each message about a slot, so that the receiver decides with what
	// is known here.
	private void send(VmName to, RegionMessage message) {
		sendLeavingReports(to);
		this.sender.send(to, message);
	}

	/**
	 * Handles the report by another process that a server is leaving. The dispatcher of
	 * its service passes it on to the other entry VMs of the region.
	 * @param from the VM of the sender
	 * @param leaving the server and its run
	 */
	public void handleServerLeaving(VmName from, ServerLeaving leaving) {
		ServerName server = new ServerName(leaving.server());
		if (!this.dispatcher.recordLeaving(from, new ServerRun(server, leaving.startedAtEpochMs()))) {
			return;
		}
		LOGGER.info("{}",
				LogLine.event("server.leaving")
					.with("server", server)
					.with("startedAt", leaving.startedAtEpochMs())
					.with("from", from));
		ServiceName service = this.dispatcher.serviceOf(server);
		if (service != null && isSelf(this.roster.dispatcher(service).vm())) {
			reportToRegion();
		}
	}

	/**
	 * Handles the loss of the connection to another process, with which messages to it
	 * may have been lost.
	 * @param vm the VM of the other process
	 */
	public void handleConnectionLost(VmName vm) {
		this.dispatcher.leavingReports().forget(vm);
		// Decides the requests sent to this VM at once, instead of at the next tick.
		tick();
	}

	/**
	 * Lets the dispatcher of this process decide the requests whose dispatcher has not
	 * confirmed them in time, is no longer alive or is leaving.
	 */
	public void tick() {
		long now = this.clock.millis();
		List<PendingRequest> toDecide = new ArrayList<>();
		for (PendingRequest pendingRequest : this.pending.values()) {
			VmName target = pendingRequest.dispatcherVm;
			if (target == null || isSelf(target)) {
				continue;
			}
			boolean timedOut = !pendingRequest.confirmed && now - pendingRequest.requestedAt >= CONFIRMATION_TIMEOUT_MS;
			if (timedOut || !this.roster.isAlive(target) || isLeaving(target)) {
				toDecide.add(pendingRequest);
			}
		}
		for (PendingRequest pendingRequest : toDecide) {
			bypassIfUnconfirmed(pendingRequest, now);
			decideLocally(pendingRequest);
		}
	}

	private void bypassIfUnconfirmed(PendingRequest pendingRequest, long now) {
		VmName target = pendingRequest.dispatcherVm;
		if (target == null || pendingRequest.confirmed) {
			return;
		}
		Long previous = this.bypassedUntil.put(target, now + BYPASS_MS);
		if (previous == null || previous < now) {
			LOGGER.info("{}",
					LogLine.event("dispatcher.silent")
						.with("vm", target)
						.with("service", pendingRequest.request.service())
						.with("waitedMs", now - pendingRequest.requestedAt));
		}
	}

	private boolean isLeaving(VmName vm) {
		RosterMember member = this.roster.find(vm);
		return member != null && member.phase() == RosterPhase.LEAVING;
	}

	/**
	 * Returns whether any request of this process is undecided.
	 * @return {@code true} if at least one request is undecided
	 */
	public boolean hasPendingRequests() {
		return !this.pending.isEmpty();
	}

	/**
	 * Handles a slot request of another process.
	 * @param from the VM of the sender
	 * @param ask the request
	 */
	public void handleRequest(VmName from, SlotAsk ask) {
		this.dispatcher.requestSlot(SlotMessages.toRequest(from, ask));
		notifyIfWaiting();
	}

	/**
	 * Handles the release of a slot by another process.
	 * @param from the VM of the sender
	 * @param returned the slot and the outcome of the request that used it
	 */
	public void handleRelease(VmName from, SlotReturned returned) {
		this.dispatcher.release(SlotMessages.toRelease(from, returned));
	}

	/**
	 * Handles a slot granted by another process. If the request was cancelled or passed
	 * to another dispatcher, the slot is released unused.
	 * @param from the VM of the sender
	 * @param granted the slot
	 */
	public void handleGrant(VmName from, SlotGranted granted) {
		PendingRequest pendingRequest = this.pending.get(granted.number());
		ServerName server = new ServerName(granted.server());
		this.dispatcher.leavingReports().recordGrant(from, server);
		if (pendingRequest == null || !from.equals(pendingRequest.dispatcherVm)) {
			send(from, SlotMessages.toMessage(unusedRelease(granted.number(), server)));
			return;
		}
		this.pending.remove(granted.number());
		passOn(new SlotGrant(pendingRequest.request, server, from, granted.why()), pendingRequest.listener);
	}

	private void passOn(SlotGrant grant, SlotListener listener) {
		if (grant.request().hedgeable()) {
			this.hedgeableGrants.put(grant.request().id().number(), new HedgeableGrant(grant, listener));
		}
		listener.granted(grant);
	}

	/**
	 * Handles the offer of a second slot by another process. It is released if the first
	 * one is not in use or was granted by a different process.
	 * @param from the VM of the sender
	 * @param offered the second slot
	 */
	public void handleOffer(VmName from, SlotOffered offered) {
		ServerName server = new ServerName(offered.server());
		if (!isOfferUsed(offered.number(), server, from, offered.reason())) {
			send(from, SlotMessages.toMessage(unusedRelease(offered.number(), server)));
		}
	}

	private boolean isOfferUsed(long number, ServerName server, VmName from, String why) {
		HedgeableGrant open = this.hedgeableGrants.get(number);
		return open != null && from.equals(open.grant().dispatcher())
				&& open.listener().hedgeOffered(new SlotGrant(open.grant().request(), server, from, why));
	}

	private SlotRelease unusedRelease(long number, ServerName server) {
		SlotId id = new SlotId(this.roster.self().vm(), number);
		return new SlotRelease(id, server, SlotOutcome.UNUSED, 0, 1, ServerLoad.UNKNOWN, 0);
	}

	/**
	 * Handles the refusal of a slot by another process.
	 * @param from the VM of the sender
	 * @param refused the refusal
	 */
	public void handleRefusal(VmName from, SlotRefused refused) {
		PendingRequest pendingRequest = this.pending.get(refused.number());
		if (pendingRequest != null && from.equals(pendingRequest.dispatcherVm)) {
			this.pending.remove(refused.number());
			if (!refused.region().isEmpty()) {
				pendingRequest.listener.moved(new Region(refused.region()));
				return;
			}
			pendingRequest.listener.refused(causeOf(from, refused), refused.retryAfterMs());
		}
	}

	// A process of another release may know further causes.
	private static RefusalCause causeOf(VmName from, SlotRefused refused) {
		for (RefusalCause cause : RefusalCause.values()) {
			if (cause.name().equals(refused.cause())) {
				return cause;
			}
		}
		LOGGER.warn("{}", LogLine.event("dispatcher.cause-unknown").with("vm", from).with("cause", refused.cause()));
		return RefusalCause.OVERLOAD;
	}

	/**
	 * Handles the confirmation by another process that it has queued a request.
	 * @param from the VM of the sender
	 * @param queued the confirmation
	 */
	public void handleQueued(VmName from, SlotQueued queued) {
		PendingRequest pendingRequest = this.pending.get(queued.number());
		if (pendingRequest != null && from.equals(pendingRequest.dispatcherVm)) {
			pendingRequest.confirmed = true;
		}
	}

	@Override
	public void granted(SlotId id, ServerName server, String why) {
		if (!isSelf(id.vm())) {
			send(id.vm(), new SlotGranted(id.number(), server.value(), why));
			return;
		}
		PendingRequest pendingRequest = this.pending.remove(id.number());
		if (pendingRequest != null) {
			passOn(new SlotGrant(pendingRequest.request, server, id.vm(), why), pendingRequest.listener);
		}
	}

	@Override
	public void queued(SlotId id) {
		if (!isSelf(id.vm())) {
			send(id.vm(), new SlotQueued(id.number()));
		}
	}

	@Override
	public void refused(SlotId id, RefusalCause cause, int retryAfterMs) {
		if (!isSelf(id.vm())) {
			send(id.vm(), new SlotRefused(id.number(), cause.name(), retryAfterMs, ""));
			return;
		}
		PendingRequest pendingRequest = this.pending.remove(id.number());
		if (pendingRequest != null) {
			pendingRequest.listener.refused(cause, retryAfterMs);
		}
	}

	@Override
	public void hedgeOffered(SlotRequest request, ServerName server, String why) {
		this.hedgeObserver.offered(request.service());
		SlotId id = request.id();
		if (!isSelf(id.vm())) {
			send(id.vm(), new SlotOffered(id.number(), server.value(), why));
		}
		else if (!isOfferUsed(id.number(), server, id.vm(), why)) {
			this.dispatcher.release(unusedRelease(id.number(), server));
		}
	}

	@Override
	public void hedgeRefused(SlotRequest request, HedgeRefusal cause) {
		this.hedgeObserver.refused(request.service(), cause);
	}

	/**
	 * Sets the observer of the decisions on hedged requests.
	 * @param observer the observer
	 */
	public void observeHedges(HedgeObserver observer) {
		this.hedgeObserver = observer;
	}

	@Override
	public void moved(SlotId id, Region region) {
		if (!isSelf(id.vm())) {
			send(id.vm(), new SlotRefused(id.number(), RefusalCause.OTHER_REGION.name(), 0, region.value()));
			return;
		}
		PendingRequest pendingRequest = this.pending.remove(id.number());
		if (pendingRequest != null) {
			pendingRequest.listener.moved(region);
		}
	}

	@Override
	public void loadWanted(ServerName server) {
		this.loadListener.accept(server);
	}

	/**
	 * Sets the listener that is called when the dispatcher needs the current load of a
	 * server.
	 * @param listener receives the name of the server, called on the event loop
	 */
	public void onLoadWanted(Consumer<ServerName> listener) {
		this.loadListener = listener;
	}

	private boolean isSelf(@Nullable VmName vm) {
		return this.roster.self().vm().equals(vm);
	}

	/**
	 * A slot in use of a request that may be hedged.
	 *
	 * @param grant the slot
	 * @param listener receives the offer of a second slot
	 */
	private record HedgeableGrant(SlotGrant grant, SlotListener listener) {
	}

	/**
	 * A request that has not been decided yet.
	 */
	private static final class PendingRequest {

		private final SlotRequest request;

		private final SlotListener listener;

		private final long requestedAt;

		private @Nullable VmName dispatcherVm;

		private boolean confirmed;

		private PendingRequest(SlotRequest request, SlotListener listener, long requestedAt) {
			this.request = request;
			this.listener = listener;
			this.requestedAt = requestedAt;
		}

	}

}
