package org.lovagevale.core.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.lovagevale.base.VmName;

/**
 * The known state of a request that crashed backend servers.
 *
 * <p>
 * Invariant: the total number of strikes and the number of cleared strikes never
 * decrease, so that messages may be merged in any order. Strikes are counted for each
 * process and added up, so that simultaneous crashes at different processes count
 * separately. Not thread-safe.
 */
final class Suspect {

	private final String fingerprint;

	private final List<String> regions;

	private final Map<String, Integer> strikesByOrigin = new HashMap<>();

	private final Map<VmName, Long> trials = new HashMap<>();

	private int reportedTotal;

	private int clearedStrikes;

	private long crashedAt = Heartbeat.NEVER;

	private long change;

	private boolean quarantined;

	Suspect(String fingerprint, List<String> regions) {
		this.fingerprint = fingerprint;
		this.regions = List.copyOf(regions);
	}

	String fingerprint() {
		return this.fingerprint;
	}

	List<String> regions() {
		return this.regions;
	}

	/**
	 * Returns the number of strikes that were not cleared.
	 * @return the number of strikes that count towards quarantine
	 */
	int strikes() {
		return Math.max(0, totalStrikes() - this.clearedStrikes);
	}

	int clearedStrikes() {
		return this.clearedStrikes;
	}

	void clear(int strikes) {
		this.clearedStrikes = Math.max(this.clearedStrikes, strikes);
	}

	int totalStrikes() {
		int sum = this.strikesByOrigin.values().stream().mapToInt(Integer::intValue).sum();
		return Math.max(sum, this.reportedTotal);
	}

	int strikesOf(String origin) {
		return this.strikesByOrigin.getOrDefault(origin, 0);
	}

	long crashedAt() {
		return this.crashedAt;
	}

	long change() {
		return this.change;
	}

	void setChange(long change) {
		this.change = change;
	}

	boolean isQuarantined() {
		return this.quarantined;
	}

	void setQuarantined() {
		this.quarantined = true;
	}

	void recordCrash(long at) {
		this.crashedAt = Math.max(this.crashedAt, at);
	}

	void mergeStrikes(String origin, int strikes) {
		this.strikesByOrigin.merge(origin, strikes, Math::max);
	}

	// A total from a digest may include strikes of processes whose notices were lost.
	void mergeTotal(int strikes) {
		this.reportedTotal = Math.max(this.reportedTotal, strikes);
	}

	void setTrial(VmName vm, long until) {
		this.trials.put(vm, until);
	}

	void endTrial(VmName vm) {
		this.trials.remove(vm);
	}

	long trialUntil(VmName vm) {
		return this.trials.getOrDefault(vm, Heartbeat.NEVER);
	}

	boolean isOnTrial(long now) {
		return this.trials.values().stream().anyMatch((until) -> until > now);
	}

	/**
	 * Tells whether a trial on another VM takes precedence over a trial on this one.
	 * @param self the VM of this process
	 * @param now the time in monotonic milliseconds
	 * @return {@code true} if a trial runs on a VM with a lower name
	 */
	boolean hasPrecedingTrial(VmName self, long now) {
		return this.trials.entrySet()
			.stream()
			.anyMatch((trial) -> trial.getKey().compareTo(self) < 0 && trial.getValue() > now);
	}

}
