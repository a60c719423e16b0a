package org.lovagevale.gateway.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks what the VMs of a simulated fleet list. A VM is in touch if its links, its
 * process and the store have been without impairment for {@link #STABLE_MS}.
 */
final class CatalogObserver {

	static final long STABLE_MS = 4_000;

	/** Bound on the use of a server after its entry was removed. */
	static final long DRAIN_MS = 2_500;

	private final SimulatedCatalogFleet fleet;

	/** The servers that each VM has listed in this life, with their starts. */
	private final Map<SimulatedCatalogFleet.Vm, Map<String, Long>> listed = new HashMap<>();

	private final Map<SimulatedCatalogFleet.Vm, CatalogUpdater> lives = new HashMap<>();

	/**
	 * VMs that have heard of a return of the store and not been in touch since. If such a
	 * VM is cut off, it cannot tell whether the store is away again, so the time that
	 * entries are kept for may pass meanwhile.
	 */
	private final Set<SimulatedCatalogFleet.Vm> unsettled = new HashSet<>();

	private final Set<SimulatedCatalogFleet.Vm> excused = new HashSet<>();

	CatalogObserver(SimulatedCatalogFleet fleet) {
		this.fleet = fleet;
	}

	void check() {
		for (SimulatedCatalogFleet.Vm vm : this.fleet.vms.values()) {
			if (this.lives.put(vm, vm.updater) != vm.updater) {
				this.listed.put(vm, new TreeMap<>());
			}
			boolean inTouch = vm.calmForMs() >= STABLE_MS && this.fleet.store.upForMs() >= STABLE_MS;
			updateExcuse(vm, inTouch);
			this.fleet.store.servers().forEach((name, server) -> check(vm, inTouch, name, server));
		}
	}

	private void updateExcuse(SimulatedCatalogFleet.Vm vm, boolean inTouch) {
		if (vm.isAlone()) {
			if (this.unsettled.contains(vm)) {
				this.excused.add(vm);
			}
		}
		else if (inTouch) {
			this.unsettled.remove(vm);
			this.excused.remove(vm);
		}
		else if (this.fleet.store.isUp()) {
			this.unsettled.add(vm);
		}
	}

	private void check(SimulatedCatalogFleet.Vm vm, boolean inTouch, String name, SimulatedStore.Server server) {
		long now = this.fleet.clock.millis();
		boolean lists = vm.lists(name, server.startedAt);
		String message = vm + " and " + name + " at " + now;
		if (inTouch && !server.live && !server.isRegistered() && now - server.removedAt > DRAIN_MS) {
			assertThat(lists).as("server that has left is listed, %s", message).isFalse();
		}
		if (inTouch && server.isRegistered() && now - server.registeredSince > DRAIN_MS) {
			assertThat(lists).as("registered server is listed, %s", message).isTrue();
		}
		Map<String, Long> known = this.listed.get(vm);
		if (lists) {
			known.put(name, server.startedAt);
		}
		else if (server.live && !this.excused.contains(vm)) {
			boolean dropped = Objects.equals(known.get(name), server.startedAt);
			assertThat(dropped).as("live server was dropped, %s", message).isFalse();
		}
		else if (this.excused.contains(vm)) {
			known.remove(name);
		}
	}

}
