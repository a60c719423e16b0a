package org.lovagevale.core.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.lovagevale.base.VmName;

/**
 * The known state of a request that crashed backend servers, identified by its
 * fingerprint.
 *
 * <p>
 * A strike is one crash of a backend server. Invariant: the total number of strikes and
 * the number of cleared strikes never decrease, so that messages may be merged in any
 * order. Strikes are counted for each process and added up, so that crashes that
 * different processes observe at the same time count separately. Not thread-safe.
 */
final class Suspect {

	private final String fingerprint;

	private final List<String> regions;

	private final Map<String, Integer> strikesByOrigin = new HashMap<>();

	private final Map<VmName, Long> trialEnds = new HashMap<>();

	private int reportedTotal;

	private int clearedStrikes;

	private long lastCrashAt = Heartbeat.NEVER;

	private long change;

	private boolean quarantineAudited;

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

	void mergeClearedStrikes(int strikes) {
		this.clearedStrikes = Math.max(this.clearedStrikes, strikes);
	}

	int totalStrikes() {
		int sum = this.strikesByOrigin.values().stream().mapToInt(Integer::intValue).sum();
		return Math.max(sum, this.reportedTotal);
	}

	int strikesOf(String origin) {
		return this.strikesByOrigin.getOrDefault(origin, 0);
	}

	long lastCrashAt() {
		return this.lastCrashAt;
	}

	long change() {
		return this.change;
	}

	void setChange(long change) {
		this.change = change;
	}

	boolean isQuarantineAudited() {
		return this.quarantineAudited;
	}

	void setQuarantineAudited() {
		this.quarantineAudited = true;
	}

	void recordCrash(long crashedAt) {
		this.lastCrashAt = Math.max(this.lastCrashAt, crashedAt);
	}

	void mergeStrikes(String origin, int strikes) {
		this.strikesByOrigin.merge(origin, strikes, Math::max);
	}

	// A total from a digest may include strikes of processes whose notices were lost.
	void mergeTotal(int strikes) {
		this.reportedTotal = Math.max(this.reportedTotal, strikes);
	}

	void setTrial(VmName vm, long until) {
		this.trialEnds.put(vm, until);
	}

	void endTrial(VmName vm) {
		this.trialEnds.remove(vm);
	}

	long trialUntil(VmName vm) {
		return this.trialEnds.getOrDefault(vm, Heartbeat.NEVER);
	}

	boolean isOnTrial(long now) {
		return this.trialEnds.values().stream().anyMatch((until) -> until > now);
	}

	/**
	 * Tells whether a trial on another VM takes precedence over a trial on this one.
	 * @param self the VM of this process
	 * @param now the time in monotonic milliseconds
	 * @return {@code true} if a trial runs on a VM with a lower name
	 */
	boolean hasPrecedingTrial(VmName self, long now) {
		return this.trialEnds.entrySet()
			.stream()
			.anyMatch((trial) -> trial.getKey().compareTo(self) < 0 && trial.getValue() > now);
	}

}
