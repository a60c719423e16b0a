package org.lovagevale.standins.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.lovagevale.base.Clock;

/**
 * The VM list of the platform, which shows changes only after a configurable lag.
 *
 * <p>
 * Thread-safe.
 */
public final class VmList {

	private final Clock clock;

	private final List<Change> changes = new ArrayList<>();

	private long lagMs;

	/**
	 * Creates an empty list.
	 * @param clock the clock
	 * @param lagMs the time from a change until it is visible, in milliseconds
	 */
	public VmList(Clock clock, long lagMs) {
		this.clock = clock;
		this.lagMs = lagMs;
	}

	/**
	 * Adds a live VM that is visible immediately, without the lag.
	 * @param name its name
	 */
	public synchronized void addLive(String name) {
		this.changes.add(new Change(Long.MIN_VALUE, name, VmState.LIVE));
	}

	/**
	 * Changes the state of a VM. The change becomes visible after the lag.
	 * @param name the name of the VM
	 * @param state the new state
	 */
	public synchronized void setState(String name, VmState state) {
		this.changes.add(new Change(this.clock.millis(), name, state));
	}

	/**
	 * Sets the lag, which applies to past and future changes.
	 * @param ms the time from a change until it is visible, in milliseconds
	 */
	public synchronized void setLagMs(long ms) {
		this.lagMs = ms;
	}

	/**
	 * Returns the list as it is currently shown.
	 * @return the states by VM name, in order of name, without VMs that are gone
	 */
	public synchronized Map<String, VmState> visible() {
		long latestVisibleMs = this.clock.millis() - this.lagMs;
		Map<String, VmState> result = new TreeMap<>();
		for (Change change : this.changes) {
			if (change.atMs() <= latestVisibleMs) {
				result.put(change.name(), change.state());
			}
		}
		result.values().removeIf((state) -> state == VmState.GONE);
		return result;
	}

	/**
	 * A state change of a VM.
	 *
	 * @param atMs the time of the change in milliseconds
	 * @param name the name of the VM
	 * @param state the new state
	 */
	private record Change(long atMs, String name, VmState state) {
	}

}
