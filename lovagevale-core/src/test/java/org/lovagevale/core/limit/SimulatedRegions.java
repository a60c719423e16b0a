package org.lovagevale.core.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.RateLimit;

/**
 * Entry VMs of several regions that limit the rates of accounts, without a network.
 * Messages take 1 ms inside a region and 30 ms between regions, and are lost between
 * partitions. Counts the admitted and refused requests.
 */
final class SimulatedRegions {

	private static final long STEP_MS = 5;

	private static final long REGION_DELAY_MS = 1;

	private static final long REMOTE_DELAY_MS = 30;

	private static final long HEARTBEAT_MS = 400;

	private static final long TICK_MS = 100;

	private static final long PLANNED_STOP_MS = 800;

	/** Time in which a process hears the others before it serves. */
	private static final long STARTING_MS = 500;

	private static final long WAITING_TICK_MS = 20;

	private final SplittableRandom random;

	private final AccountPolicy policy;

	private final LimitPlan plan;

	private final Map<AccountName, RateLimit> limits;

	private final Map<VmName, SimulatedVm> vms = new TreeMap<>();

	private final PriorityQueue<Scheduled> events = new PriorityQueue<>(
			Comparator.comparingLong(Scheduled::at).thenComparingLong(Scheduled::number));

	private final Map<AccountName, List<Long>> admittedAt = new HashMap<>();

	private final Map<AccountName, List<Long>> refusedAt = new HashMap<>();

	private long now = 1_000_000;

	private long lastEvent;

	SimulatedRegions(int regions, int vmsPerRegion, AccountPolicy policy, Map<AccountName, RateLimit> limits,
			long seed) {
		this.random = new SplittableRandom(seed);
		this.policy = policy;
		this.plan = new LimitPlan(policy, regions);
		// Sorted, so that the same seed gives the same run.
		this.limits = new TreeMap<>(limits);
		for (int region = 0; region < regions; region++) {
			for (int vm = 0; vm < vmsPerRegion; vm++) {
				start(new VmName("r" + region + "-vm" + vm), new Region("r" + region), 0);
			}
		}
		limits.keySet().forEach((account) -> {
			this.admittedAt.put(account, new ArrayList<>());
			this.refusedAt.put(account, new ArrayList<>());
		});
	}

	long now() {
		return this.now;
	}

	List<SimulatedVm> vms() {
		return List.copyOf(this.vms.values());
	}

	List<List<SimulatedVm>> otherRegions(Region own) {
		Map<Region, List<SimulatedVm>> others = new TreeMap<>();
		for (SimulatedVm vm : this.vms.values()) {
			if (!vm.region.equals(own)) {
				others.computeIfAbsent(vm.region, (region) -> new ArrayList<>()).add(vm);
			}
		}
		return List.copyOf(others.values());
	}

	private void start(VmName name, Region region, int partition) {
		SimulatedVm vm = new SimulatedVm(this, name, region, this.plan, this.limits, this.random.nextLong());
		vm.partition = partition;
		this.vms.put(name, vm);
		repeat(vm, HEARTBEAT_MS, () -> {
			if (vm.stopsHeartbeats || !vm.isServing()) {
				return;
			}
			for (SimulatedVm other : vms()) {
				if (other.region.equals(region) && other != vm) {
					Set<VmName> known = vm.known();
					send(vm, other.name, (receiver) -> receiver.heartbeatFrom(name, known));
				}
			}
		});
		schedule(this.now + STARTING_MS, vm::serve);
		repeat(vm, TICK_MS, vm::tick);
		repeat(vm, WAITING_TICK_MS, vm::waitingTick);
	}

	// Periodic work that a pause delays runs once afterwards.
	private void repeat(SimulatedVm vm, long intervalMs, Runnable work) {
		schedule(this.now + this.random.nextLong(intervalMs), new Runnable() {
			@Override
			public void run() {
				if (!vm.running) {
					return;
				}
				if (vm.pausedUntil > SimulatedRegions.this.now) {
					schedule(vm.pausedUntil, this);
					return;
				}
				work.run();
				schedule(SimulatedRegions.this.now + intervalMs, this);
			}
		});
	}

	private void schedule(long at, Runnable work) {
		this.events.add(new Scheduled(at, ++this.lastEvent, work));
	}

	void send(SimulatedVm from, VmName to, Consumer<SimulatedVm> message) {
		SimulatedVm target = this.vms.get(to);
		if (!from.running || target == null || from.partition != target.partition) {
			return;
		}
		long delay = from.region.equals(target.region) ? REGION_DELAY_MS : REMOTE_DELAY_MS;
		schedule(this.now + delay, () -> deliver(target, message));
	}

	private void deliver(SimulatedVm target, Consumer<SimulatedVm> message) {
		if (!target.running) {
			return;
		}
		if (target.pausedUntil > this.now) {
			schedule(target.pausedUntil, () -> deliver(target, message));
			return;
		}
		message.accept(target);
	}

	/**
	 * Kills the process on a VM and starts another one. The others notice that their
	 * connections are reset.
	 * @param vm the process
	 */
	void restart(SimulatedVm vm) {
		vm.running = false;
		start(vm.name, vm.region, vm.partition);
		for (SimulatedVm other : vms()) {
			if (other.region.equals(vm.region) && other.partition == vm.partition && other.running
					&& !other.name.equals(vm.name)) {
				schedule(this.now + REGION_DELAY_MS,
						() -> deliver(other, (receiver) -> receiver.connectionLost(vm.name)));
			}
		}
	}

	/**
	 * Restarts a process after it has told the others that it leaves.
	 * @param vm the process
	 */
	void restartPlanned(SimulatedVm vm) {
		vm.stopsHeartbeats = true;
		vm.leaves(vm.name);
		for (SimulatedVm other : vms()) {
			if (other.region.equals(vm.region) && other != vm) {
				send(vm, other.name, (receiver) -> receiver.leaves(vm.name));
			}
		}
		schedule(this.now + PLANNED_STOP_MS, () -> restart(vm));
	}

	/**
	 * Runs for a time.
	 * @param durationMs the time in milliseconds
	 * @param demand the requests per second of an account at a VM
	 */
	void run(long durationMs, Demand demand) {
		long end = this.now + durationMs;
		while (this.now < end) {
			this.now += STEP_MS;
			while (!this.events.isEmpty() && this.events.peek().at() <= this.now) {
				this.events.remove().work().run();
			}
			for (SimulatedVm vm : vms()) {
				if (vm.pausedUntil <= this.now && vm.isServing()) {
					this.limits.keySet().forEach((account) -> sendRequests(vm, account, demand));
				}
			}
		}
	}

	private void sendRequests(SimulatedVm vm, AccountName account, Demand demand) {
		double expected = demand.perSecond(vm, account) * STEP_MS / 1_000;
		// Poisson distributed, by the product of uniform numbers.
		double product = this.random.nextDouble();
		for (double limit = Math.exp(-expected); product > limit; product *= this.random.nextDouble()) {
			LimitDecision decision = vm.request(account);
			decision.onDecided(() -> record(account, decision));
		}
	}

	private void record(AccountName account, LimitDecision decision) {
		if (decision.isAdmitted()) {
			this.admittedAt.get(account).add(this.now);
		}
		else if (decision.isRefused()) {
			this.refusedAt.get(account).add(this.now);
		}
	}

	/**
	 * Returns the largest number of admitted requests in a window, relative to the bound.
	 * @param account the account
	 * @return at most 1 if the bound was kept
	 */
	double largestShareOfBound(AccountName account) {
		List<Long> times = this.admittedAt.get(account);
		int largest = 0;
		int first = 0;
		for (int last = 0; last < times.size(); last++) {
			while (times.get(last) - times.get(first) >= this.policy.windowMs()) {
				first++;
			}
			largest = Math.max(largest, last - first + 1);
		}
		return largest / this.policy.bound(this.limits.get(account));
	}

	long admittedSince(AccountName account, long since) {
		return this.admittedAt.get(account).stream().filter((at) -> at >= since).count();
	}

	long refusedSince(AccountName account, long since) {
		return this.refusedAt.get(account).stream().filter((at) -> at >= since).count();
	}

	@Nullable SimulatedVm limiterOf(String region) {
		return this.vms.values()
			.stream()
			.filter((vm) -> vm.region.value().equals(region) && vm.limiter.isOnDuty())
			.findFirst()
			.orElse(null);
	}

	/**
	 * The requests that callers send.
	 */
	@FunctionalInterface
	interface Demand {

		/**
		 * Returns the demand at a VM.
		 * @param vm the VM
		 * @param account the account
		 * @return the requests per second
		 */
		double perSecond(SimulatedVm vm, AccountName account);

	}

	/**
	 * Work at a time.
	 *
	 * @param at the monotonic time in milliseconds
	 * @param number orders work at the same time
	 * @param work the work
	 */
	private record Scheduled(long at, long number, Runnable work) {
	}

}
