package org.lovagevale.gateway.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.Clock;
import org.lovagevale.base.LogLine;
import org.lovagevale.base.RandomSource;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.AccountTable;
import org.lovagevale.core.catalog.ClientAccount;
import org.lovagevale.core.catalog.RateLimit;
import org.lovagevale.core.catalog.ServingConfiguration;
import org.lovagevale.core.limit.AccountLimiter;
import org.lovagevale.core.limit.LimitDecision;
import org.lovagevale.core.limit.LimitPlan;
import org.lovagevale.core.limit.LimiterLink;
import org.lovagevale.core.limit.RegionCensus;
import org.lovagevale.core.limit.TokenLeases;
import org.lovagevale.core.message.AccountAsk;
import org.lovagevale.core.message.AccountDemand;
import org.lovagevale.core.message.AccountGrant;
import org.lovagevale.core.roster.RemoteContacts;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.core.roster.RosterPhase;
import org.lovagevale.gateway.GatewayMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leases tokens of client accounts from the entry process that is the limiter of the
 * region, and runs the limiter of this process.
 *
 * <p>
 * Not thread-safe; all methods must be called on the event loop.
 */
public final class AccountLimitClient implements LimiterLink {

	/**
	 * Time for which nothing is asked of a limiter that did not answer in time, in
	 * milliseconds.
	 */
	private static final long BYPASS_MS = 700;

	/** Number of the question to a predecessor; those for tokens are positive. */
	private static final long PREDECESSOR_QUESTION = -1;

	private static final Logger LOGGER = LoggerFactory.getLogger(AccountLimitClient.class);

	private final Clock clock;

	private final Roster roster;

	private final RemoteContacts contacts;

	private final RegionMessageSender sender;

	private final TokenLeases leases;

	private final AccountLimiter limiter;

	private final RegionCensus census;

	private Map<AccountName, RateLimit> limits = Map.of();

	private Runnable waitingListener = () -> {
	};

	/** The limiter that was asked last. */
	private @Nullable VmName askedVm;

	/** The limiter before this process became it. */
	private @Nullable VmName predecessor;

	/** The limiter when the duty was last determined. */
	private @Nullable VmName previousLimiter;

	private @Nullable VmName silentVm;

	private long silentUntil;

	private long reports;

	private boolean loggedConnected;

	/**
	 * Creates a client.
	 * @param clock the source of the current time
	 * @param roster the known entry processes; determines the limiter
	 * @param contacts the known entry VMs of other regions
	 * @param sender sends messages to other entry processes
	 * @param metrics counts the decisions
	 * @param plan the parts of the limits
	 * @param random the source of random numbers
	 * @param startsAlone whether there may be no other entry process
	 */
	public AccountLimitClient(Clock clock, Roster roster, RemoteContacts contacts, RegionMessageSender sender,
			GatewayMetrics metrics, LimitPlan plan, RandomSource random, boolean startsAlone) {
		this.clock = clock;
		this.roster = roster;
		this.contacts = contacts;
		this.sender = sender;
		this.census = new RegionCensus(startsAlone);
		this.leases = new TokenLeases(this, plan, random,
				(account, outcome) -> metrics.countLimitDecision(account.value(), outcome.name()));
		this.limiter = new AccountLimiter(plan, roster.self().region(), roster.self().incarnation().salt(),
				clock.millis());
	}

	/**
	 * Decides whether a request is within the limit of its account.
	 * @param account the account
	 * @return the decision, which may be pending
	 */
	public LimitDecision request(ClientAccount account) {
		LimitDecision decision = this.leases.request(account.name(), account.limit(), this.clock.millis());
		// The request may wait for a question that was asked in advance, at whose time
		// nothing was waiting.
		if (!decision.isAdmitted() && !decision.isRefused()) {
			this.waitingListener.run();
		}
		return decision;
	}

	/**
	 * Sets the listener that is called when requests are waiting, which means that
	 * {@link #tickWaiting()} must be called periodically.
	 * @param listener the listener, called on the event loop
	 */
	public void onWaiting(Runnable listener) {
		this.waitingListener = listener;
	}

	/**
	 * Tells whether requests wait for a decision.
	 * @return {@code true} if at least one does
	 */
	public boolean isWaiting() {
		return this.leases.isWaiting();
	}

	/**
	 * Decides the requests locally that the limiter has not decided in time.
	 */
	public void tickWaiting() {
		this.leases.tick(this.clock.millis());
	}

	/**
	 * Begins or ends the duty of this process, and reports its demand to the other
	 * regions if that is due. To be called every 100 ms.
	 */
	public void tick() {
		refreshCensus();
		refreshDuty();
		askPredecessor();
		AccountDemand report = this.limiter.tick(this.clock.millis());
		if (report != null) {
			this.reports++;
			this.contacts.regions().forEach((region) -> sendReport(region, report));
		}
		logIfConnectionChanged();
	}

	// The predecessor of a limiter that has just started is usually alive. Once it
	// answers
	// that it is not the limiter, this process need not wait until it surely has stopped.
	private void askPredecessor() {
		VmName vm = this.predecessor;
		if (vm != null && !isSelf(vm) && this.roster.isAlive(vm) && this.limiter.isNew(this.clock.millis())) {
			String account = this.limits.keySet().iterator().next().value();
			this.sender.send(vm, new AccountAsk(PREDECESSOR_QUESTION, account, 0, 0));
		}
	}

	// Takes turns among the contacts, so that the loss of one costs single reports only.
	private void sendReport(Region region, AccountDemand report) {
		List<RosterMember> usable = this.contacts.usable()
			.stream()
			.filter((member) -> member.region().equals(region))
			.toList();
		if (!usable.isEmpty()) {
			this.sender.send(usable.get((int) (this.reports % usable.size())).vm(), report);
		}
	}

	private void refreshCensus() {
		List<VmName> alive = new ArrayList<>();
		List<VmName> leaving = new ArrayList<>();
		for (RosterMember member : this.roster.alive()) {
			if (member.phase() == RosterPhase.LEAVING) {
				leaving.add(member.vm());
			}
			else if (!isSelf(member.vm())) {
				alive.add(member.vm());
			}
		}
		Region own = this.roster.self().region();
		List<VmName> known = new ArrayList<>();
		for (RosterMember member : this.roster.known()) {
			if (!member.region().equals(own)) {
				continue;
			}
			known.add(member.vm());
			if (member.phase() == RosterPhase.LEAVING) {
				leaving.add(member.vm());
			}
		}
		this.census.observe(alive, known, leaving, this.clock.millis());
		if (!this.contacts.regions().isEmpty()) {
			this.census.recordContact();
		}
	}

	private void refreshDuty() {
		RosterMember chosen = this.roster.limiter();
		boolean chosenSelf = chosen != null && isSelf(chosen.vm()) && !this.limits.isEmpty();
		double claim = chosenSelf ? this.census.claim() : 0;
		boolean wasOnDuty = this.limiter.isOnDuty();
		RosterMember previous = (this.previousLimiter != null) ? this.roster.find(this.previousLimiter) : null;
		boolean previousLeft = previous != null && previous.phase() == RosterPhase.LEAVING;
		this.limiter.setClaim(claim, previousLeft, this.clock.millis());
		if (!wasOnDuty) {
			this.predecessor = this.previousLimiter;
		}
		this.previousLimiter = (chosen != null) ? chosen.vm() : null;
		boolean onDuty = this.limiter.isOnDuty();
		if (onDuty == wasOnDuty) {
			return;
		}
		this.loggedConnected = this.limiter.isConnected();
		LOGGER.info("{}",
				LogLine.event("accounts.limiter")
					.with("onDuty", onDuty)
					.with("region", this.roster.self().region())
					.with("claim", String.format(Locale.ROOT, "%.2f", claim))
					.with("accounts", this.limits.size()));
	}

	private void logIfConnectionChanged() {
		boolean connected = this.limiter.isConnected();
		if (connected != this.loggedConnected && this.limiter.isOnDuty()) {
			this.loggedConnected = connected;
			LOGGER.info("{}",
					LogLine.event("accounts.regions")
						.with("connected", connected)
						.with("region", this.roster.self().region())
						.with("contacts", this.contacts.regions().size()));
		}
	}

	/**
	 * Adopts the limits of a configuration.
	 * @param configuration the configuration, or {@code null} if none is known yet
	 */
	public void update(@Nullable ServingConfiguration configuration) {
		AccountTable accounts = (configuration != null) ? configuration.accounts() : null;
		Map<AccountName, RateLimit> newLimits = new HashMap<>();
		if (accounts != null) {
			for (ClientAccount account : accounts.accounts()) {
				if (account.limit().isLimited()) {
					newLimits.put(account.name(), account.limit());
				}
			}
		}
		if (!newLimits.equals(this.limits)) {
			this.limits = Map.copyOf(newLimits);
			this.limiter.setLimits(this.limits, this.clock.millis());
			this.leases.retain(this.limits);
			LOGGER.info("{}", LogLine.event("accounts.limits-changed").with("limited", this.limits.size()));
		}
	}

	/**
	 * Handles a question of another process for tokens.
	 * @param from the VM of the sender
	 * @param ask the question
	 */
	public void handleAsk(VmName from, AccountAsk ask) {
		refreshDuty();
		this.sender.send(from, this.limiter.grant(from, ask, this.clock.millis()));
	}

	/**
	 * Handles the answer to a question of this process.
	 * @param from the VM of the sender
	 * @param grant the answer
	 */
	public void handleGrant(VmName from, AccountGrant grant) {
		if (grant.number() == PREDECESSOR_QUESTION) {
			if (from.equals(this.predecessor) && grant.leaseMs() <= 0) {
				this.limiter.recordPredecessorStopped(this.clock.millis());
			}
			return;
		}
		this.leases.handleGrant(grant, this.clock.millis());
	}

	/**
	 * Handles a report of the limiter of another region, or passes it on to the limiter
	 * of this region.
	 * @param from the VM of the sender
	 * @param report the report
	 */
	public void handleDemand(VmName from, AccountDemand report) {
		refreshDuty();
		RosterMember chosen = this.roster.limiter();
		if (chosen == null || isSelf(chosen.vm())) {
			this.limiter.receive(report, this.clock.millis());
			return;
		}
		// A report that another process of this region has passed on is dropped, so that
		// processes which disagree about the limiter do not pass it back and forth.
		RosterMember member = this.roster.find(from);
		if (member == null || !member.region().equals(this.roster.self().region())) {
			this.sender.send(chosen.vm(), report);
		}
	}

	/**
	 * Handles the loss of the connection to another process. Requests that wait for its
	 * decision are decided by the next limiter.
	 * @param vm the VM of the other process
	 */
	public void handleConnectionLost(VmName vm) {
		if (vm.equals(this.askedVm)) {
			this.askedVm = null;
			this.leases.limiterLost(this.clock.millis());
		}
	}

	@Override
	public void ask(AccountAsk ask) {
		RosterMember chosen = this.roster.limiter();
		long now = this.clock.millis();
		if (chosen == null || chosen.vm().equals(this.silentVm) && now < this.silentUntil) {
			this.leases.handleGrant(new AccountGrant(ask.number(), 0, 0, 0), now);
			return;
		}
		if (isSelf(chosen.vm())) {
			refreshDuty();
			this.leases.handleGrant(this.limiter.grant(chosen.vm(), ask, now), now);
			return;
		}
		this.askedVm = chosen.vm();
		this.sender.send(chosen.vm(), ask);
		this.waitingListener.run();
	}

	@Override
	public void limiterSilent(long waitedMs) {
		RosterMember chosen = this.roster.limiter();
		if (chosen == null || isSelf(chosen.vm())) {
			return;
		}
		long now = this.clock.millis();
		if (!chosen.vm().equals(this.silentVm) || now >= this.silentUntil) {
			LOGGER.info("{}",
					LogLine.event("accounts.limiter-silent").with("vm", chosen.vm()).with("waitedMs", waitedMs));
		}
		this.silentVm = chosen.vm();
		this.silentUntil = now + BYPASS_MS;
	}

	@Override
	public int regionVms() {
		return this.census.size();
	}

	private boolean isSelf(VmName vm) {
		return this.roster.self().vm().equals(vm);
	}

}
