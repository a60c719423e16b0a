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
import org.lovagevale.base.ServerName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.message.SlotAsk;
import org.lovagevale.core.message.SlotCancelled;
import org.lovagevale.core.message.SlotGranted;
import org.lovagevale.core.message.SlotQueued;
import org.lovagevale.core.message.SlotRefused;
import org.lovagevale.core.message.SlotReturned;
import org.lovagevale.core.placing.RefusalCause;
import org.lovagevale.core.placing.ServerLoad;
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
 * Asks the dispatcher of a service for slots, and is the dispatcher for others.
 *
 * <p>
 * Invariant: a listener is called at most once. A question that the dispatcher does not
 * confirm within {@link #CONFIRM_MS} is decided here with what this process knows.
 * Confined to the event loop.
 */
public final class SlotClient implements SlotReplies {

	/** Several times what a message takes within a region, in milliseconds. */
	static final long CONFIRM_MS = 60;

	/** A dispatcher that did not confirm is not asked for this long, in milliseconds. */
	private static final long DOUBT_MS = 700;

	private static final Logger LOGGER = LoggerFactory.getLogger(SlotClient.class);

	private final Clock clock;

	private final Roster roster;

	private final RegionLink link;

	private final SlotDispatcher dispatcher;

	private final Map<Long, Asked> asked = new HashMap<>();

	private final Map<VmName, Long> doubtedUntil = new HashMap<>();

	private Runnable waiting = () -> {
	};

	private Consumer<ServerName> loadChecks = (server) -> {
	};

	private long numbers;

	/**
	 * Creates a client.
	 * @param clock the clock
	 * @param roster tells who dispatches
	 * @param link sends messages
	 * @param dispatcher makes the dispatcher of this process, given the receiver of its
	 * answers
	 */
	public SlotClient(Clock clock, Roster roster, RegionLink link, Function<SlotReplies, SlotDispatcher> dispatcher) {
		this.clock = clock;
		this.roster = roster;
		this.link = link;
		this.dispatcher = dispatcher.apply(this);
	}

	/**
	 * Returns the dispatcher of this process.
	 * @return the dispatcher
	 */
	public SlotDispatcher dispatcher() {
		return this.dispatcher;
	}

	/**
	 * Returns an identity for a question.
	 * @return an identity that was not used before
	 */
	public SlotId nextId() {
		return new SlotId(this.roster.self().vm(), ++this.numbers);
	}

	/**
	 * Asks for a slot.
	 * @param request the question
	 * @param listener takes the decision
	 */
	public void ask(SlotRequest request, SlotListener listener) {
		RosterMember target = this.roster.dispatcher(request.service());
		Long doubt = this.doubtedUntil.get(target.vm());
		boolean doubted = doubt != null && this.clock.millis() < doubt;
		Asked question = new Asked(request, listener, this.clock.millis());
		this.asked.put(request.id().number(), question);
		if (doubted || target.vm().equals(this.roster.self().vm())) {
			decideHere(question);
			return;
		}
		question.dispatcher = target.vm();
		this.link.send(target.vm(), SlotMessages.toMessage(request));
		this.waiting.run();
	}

	private void decideHere(Asked question) {
		question.dispatcher = this.roster.self().vm();
		question.confirmed = true;
		this.dispatcher.requestSlot(question.request);
		noteWaiting();
	}

	private void noteWaiting() {
		if (this.dispatcher.hasWaitingRequests()) {
			this.waiting.run();
		}
	}

	/**
	 * Sets what is told when questions or requests wait, so that {@link #tick()} and
	 * {@link SlotDispatcher#tick()} are needed.
	 * @param listener called on the event loop
	 */
	public void onWaiting(Runnable listener) {
		this.waiting = listener;
	}

	/**
	 * Withdraws a question.
	 * @param id the question
	 */
	public void cancel(SlotId id) {
		Asked question = this.asked.remove(id.number());
		if (question == null) {
			return;
		}
		if (isHere(question.dispatcher)) {
			this.dispatcher.cancel(id);
		}
		else if (question.dispatcher != null) {
			this.link.send(question.dispatcher, new SlotCancelled(id.number()));
		}
	}

	/**
	 * Gives back a slot.
	 * @param grant the slot
	 * @param release what became of it
	 */
	public void release(SlotGrant grant, SlotRelease release) {
		if (isHere(grant.dispatcher())) {
			this.dispatcher.release(release);
			return;
		}
		this.dispatcher.recordLoad(release.server(), release.load());
		this.link.send(grant.dispatcher(), SlotMessages.toMessage(release));
	}

	/**
	 * Decides questions whose dispatcher is silent or gone.
	 */
	public void tick() {
		long now = this.clock.millis();
		List<Asked> overdue = new ArrayList<>();
		for (Asked question : this.asked.values()) {
			VmName at = question.dispatcher;
			if (at == null || isHere(at)) {
				continue;
			}
			boolean silent = !question.confirmed && now - question.at >= CONFIRM_MS;
			if (silent || !this.roster.isAlive(at) || isLeaving(at)) {
				overdue.add(question);
			}
		}
		for (Asked question : overdue) {
			doubt(question, now);
			decideHere(question);
		}
	}

	private void doubt(Asked question, long now) {
		VmName at = question.dispatcher;
		if (at == null || question.confirmed) {
			return;
		}
		Long known = this.doubtedUntil.put(at, now + DOUBT_MS);
		if (known == null || known < now) {
			LOGGER.info("{}",
					LogLine.event("dispatcher.silent")
						.with("vm", at)
						.with("service", question.request.service())
						.with("waitedMs", now - question.at));
		}
	}

	private boolean isLeaving(VmName vm) {
		RosterMember member = this.roster.find(vm);
		return member != null && member.phase() == RosterPhase.LEAVING;
	}

	/**
	 * Tells whether questions wait for another process.
	 * @return {@code true} if any do
	 */
	public boolean isWaiting() {
		return !this.asked.isEmpty();
	}

	/**
	 * Takes a question of another process.
	 * @param from its VM
	 * @param ask the question
	 */
	public void asked(VmName from, SlotAsk ask) {
		this.dispatcher.requestSlot(SlotMessages.toRequest(from, ask));
		noteWaiting();
	}

	/**
	 * Takes back a slot from another process.
	 * @param from its VM
	 * @param returned the slot
	 */
	public void returned(VmName from, SlotReturned returned) {
		this.dispatcher.release(SlotMessages.toRelease(from, returned));
	}

	/**
	 * Takes a decision of another process.
	 * @param from its VM
	 * @param granted the slot
	 */
	public void granted(VmName from, SlotGranted granted) {
		Asked question = this.asked.get(granted.number());
		ServerName server = new ServerName(granted.server());
		if (question == null || !from.equals(question.dispatcher)) {
			this.link.send(from, SlotMessages.toMessage(unused(granted.number(), server)));
			return;
		}
		this.asked.remove(granted.number());
		question.listener.granted(new SlotGrant(question.request, server, from, granted.why()));
	}

	private SlotRelease unused(long number, ServerName server) {
		SlotId id = new SlotId(this.roster.self().vm(), number);
		return new SlotRelease(id, server, SlotOutcome.UNUSED, 0, 1, ServerLoad.UNKNOWN, 0);
	}

	/**
	 * Takes a rejection by another process.
	 * @param from its VM
	 * @param refused the rejection
	 */
	public void refused(VmName from, SlotRefused refused) {
		Asked question = this.asked.get(refused.number());
		if (question != null && from.equals(question.dispatcher)) {
			this.asked.remove(refused.number());
			question.listener.refused(RefusalCause.valueOf(refused.cause()), refused.retryAfterMs());
		}
	}

	/**
	 * Takes the confirmation of another process that a question waits.
	 * @param from its VM
	 * @param queued the confirmation
	 */
	public void queued(VmName from, SlotQueued queued) {
		Asked question = this.asked.get(queued.number());
		if (question != null && from.equals(question.dispatcher)) {
			question.confirmed = true;
		}
	}

	@Override
	public void granted(SlotId id, ServerName server, String why) {
		if (!isHere(id.vm())) {
			this.link.send(id.vm(), new SlotGranted(id.number(), server.value(), why));
			return;
		}
		Asked question = this.asked.remove(id.number());
		if (question != null) {
			question.listener.granted(new SlotGrant(question.request, server, id.vm(), why));
		}
	}

	@Override
	public void queued(SlotId id) {
		if (!isHere(id.vm())) {
			this.link.send(id.vm(), new SlotQueued(id.number()));
		}
	}

	@Override
	public void refused(SlotId id, RefusalCause cause, int retryAfterMs) {
		if (!isHere(id.vm())) {
			this.link.send(id.vm(), new SlotRefused(id.number(), cause.name(), retryAfterMs));
			return;
		}
		Asked question = this.asked.remove(id.number());
		if (question != null) {
			question.listener.refused(cause, retryAfterMs);
		}
	}

	@Override
	public void loadWanted(ServerName server) {
		this.loadChecks.accept(server);
	}

	/**
	 * Sets who asks servers for their load.
	 * @param checks takes the name of a server
	 */
	public void onLoadWanted(Consumer<ServerName> checks) {
		this.loadChecks = checks;
	}

	private boolean isHere(@Nullable VmName vm) {
		return this.roster.self().vm().equals(vm);
	}

	/**
	 * A question that waits for its decision.
	 */
	private static final class Asked {

		private final SlotRequest request;

		private final SlotListener listener;

		private final long at;

		private @Nullable VmName dispatcher;

		private boolean confirmed;

		private Asked(SlotRequest request, SlotListener listener, long at) {
			this.request = request;
			this.listener = listener;
			this.at = at;
		}

	}

}
