package org.lovagevale.core.limit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.Region;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.RateLimit;
import org.lovagevale.core.message.AccountAsk;
import org.lovagevale.core.message.AccountDemand;
import org.lovagevale.core.message.AccountGrant;

/**
 * One entry VM of {@link SimulatedRegions}. Its view of the region is a simple form of
 * the roster: members count as alive for 1.3 s after a heartbeat, and the first one by
 * name is the limiter.
 */
final class SimulatedVm implements LimiterLink {

	private static final long ALIVE_MS = 1_300;

	private static final long BYPASS_MS = 700;

	final VmName name;

	final Region region;

	private final SimulatedRegions network;

	private final Map<VmName, Long> heardAt = new HashMap<>();

	private final Map<VmName, Boolean> lost = new HashMap<>();

	private final Set<VmName> leaving = new HashSet<>();

	private @Nullable VmName previousLimiter;

	private @Nullable VmName predecessor;

	private boolean serving;

	private final Set<VmName> known = new HashSet<>();

	private final RegionCensus census = new RegionCensus(false);

	private final Map<AccountName, RateLimit> limits;

	final TokenLeases leases;

	final AccountLimiter limiter;

	private final Map<VmName, Long> bypassedUntil = new HashMap<>();

	private int reports;

	/** {@code false} once a later run has replaced this one. */
	boolean running = true;

	long pausedUntil;

	/** Whether this run has said that it leaves. */
	boolean stopsHeartbeats;

	/** The part of the network that this VM is in. */
	int partition;

	SimulatedVm(SimulatedRegions network, VmName name, Region region, LimitPlan plan,
			Map<AccountName, RateLimit> limits, long seed) {
		this.network = network;
		this.name = name;
		this.region = region;
		this.limits = limits;
		this.leases = new TokenLeases(this, plan, new SeededRandom(seed), (account, outcome) -> {
		});
		this.limiter = new AccountLimiter(plan, region, (int) seed, network.now());
		this.limiter.setLimits(limits, network.now());
	}

	private boolean isAlive(VmName vm) {
		Long at = this.heardAt.get(vm);
		return at != null && !this.lost.containsKey(vm) && this.network.now() - at < ALIVE_MS;
	}

	private @Nullable VmName limiterVm() {
		VmName first = (this.leaving.contains(this.name) || !this.serving) ? null : this.name;
		for (VmName vm : this.heardAt.keySet()) {
			if (isAlive(vm) && !this.leaving.contains(vm) && (first == null || vm.compareTo(first) < 0)) {
				first = vm;
			}
		}
		return first;
	}

	/**
	 * Begins to serve, if this process knows others or has looked for them long enough.
	 */
	void serve() {
		this.serving = true;
	}

	boolean isServing() {
		return this.serving;
	}

	/**
	 * Records that a VM leaves, until it is heard again after its restart.
	 * @param vm the VM, which may be this one
	 */
	void leaves(VmName vm) {
		this.leaving.add(vm);
		refreshDuty();
	}

	private void refreshDuty() {
		this.census.observe(this.heardAt.keySet().stream().filter(this::isAlive).toList(), this.known, this.leaving,
				this.network.now());
		VmName chosen = limiterVm();
		boolean wasOnDuty = this.limiter.isOnDuty();
		this.limiter.setClaim(this.name.equals(chosen) ? this.census.claim() : 0,
				this.previousLimiter != null && this.leaving.contains(this.previousLimiter), this.network.now());
		if (!wasOnDuty) {
			this.predecessor = this.previousLimiter;
		}
		this.previousLimiter = chosen;
	}

	LimitDecision request(AccountName account) {
		return this.leases.request(account, this.limits.get(account), this.network.now());
	}

	// A process that hears another one for the first time is told whom that knows.
	void heartbeatFrom(VmName vm, Set<VmName> knownThere) {
		this.heardAt.put(vm, this.network.now());
		this.lost.remove(vm);
		this.leaving.remove(vm);
		this.known.add(vm);
		this.known.addAll(knownThere);
		this.known.remove(this.name);
	}

	Set<VmName> known() {
		return Set.copyOf(this.known);
	}

	void connectionLost(VmName vm) {
		this.lost.put(vm, true);
		this.leases.limiterLost(this.network.now());
	}

	void tick() {
		refreshDuty();
		askPredecessor();
		AccountDemand report = this.limiter.tick(this.network.now());
		if (report == null) {
			return;
		}
		this.reports++;
		for (List<SimulatedVm> others : this.network.otherRegions(this.region)) {
			SimulatedVm contact = others.get(this.reports % others.size());
			this.network.send(this, contact.name, (vm) -> vm.reportReceived(report));
		}
	}

	private void askPredecessor() {
		VmName vm = this.predecessor;
		if (vm == null || !isAlive(vm) || !this.limiter.isNew(this.network.now())) {
			return;
		}
		this.network.send(this, vm, (asked) -> {
			asked.refreshDuty();
			if (!asked.limiter.isOnDuty()) {
				this.network.send(asked, this.name,
						(asker) -> asker.limiter.recordPredecessorStopped(this.network.now()));
			}
		});
	}

	private void reportReceived(AccountDemand report) {
		VmName target = limiterVm();
		if (this.name.equals(target)) {
			refreshDuty();
			this.limiter.receive(report, this.network.now());
		}
		else if (target != null) {
			this.network.send(this, target, (vm) -> {
				vm.refreshDuty();
				vm.limiter.receive(report, this.network.now());
			});
		}
	}

	void waitingTick() {
		this.leases.tick(this.network.now());
	}

	@Override
	public void ask(AccountAsk ask) {
		VmName target = limiterVm();
		Long until = (target != null) ? this.bypassedUntil.get(target) : null;
		if (target == null || until != null && this.network.now() < until) {
			this.leases.handleGrant(new AccountGrant(ask.number(), 0, 0, 0), this.network.now());
		}
		else if (target.equals(this.name)) {
			refreshDuty();
			this.leases.handleGrant(this.limiter.grant(this.name, ask, this.network.now()), this.network.now());
		}
		else {
			this.network.send(this, target, (vm) -> {
				vm.refreshDuty();
				AccountGrant grant = vm.limiter.grant(this.name, ask, this.network.now());
				this.network.send(vm, this.name, (asker) -> asker.leases.handleGrant(grant, this.network.now()));
			});
		}
	}

	@Override
	public void limiterSilent(long waitedMs) {
		VmName target = limiterVm();
		if (target != null) {
			this.bypassedUntil.put(target, this.network.now() + BYPASS_MS);
		}
	}

	@Override
	public int regionVms() {
		return this.census.size();
	}

}
