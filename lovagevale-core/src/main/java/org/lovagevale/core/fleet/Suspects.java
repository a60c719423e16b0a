package org.lovagevale.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.AuditRecorder;
import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.message.SuspectEntry;

/**
 * The requests that crashed backend servers, with their strikes and trials.
 *
 * <p>
 * Entries expire some time after the last crash and are bounded in number. If there are
 * too many, the oldest one that is not quarantined is dropped first. Not thread-safe.
 */
final class Suspects {

	private final ProcessIdentity self;

	private final Clock clock;

	private final ActiveSettings activeSettings;

	private final AuditRecorder audit;

	private final Map<String, Suspect> suspectsByFingerprint = new HashMap<>();

	private long changeCount;

	Suspects(ProcessIdentity self, Clock clock, ActiveSettings activeSettings, AuditRecorder audit) {
		this.self = self;
		this.clock = clock;
		this.activeSettings = activeSettings;
		this.audit = audit;
	}

	SuspectStatus status(Fingerprint fingerprint) {
		Suspect suspect = find(fingerprint.value());
		if (suspect == null) {
			return SuspectStatus.CLEAR;
		}
		if (isQuarantined(suspect)) {
			return SuspectStatus.QUARANTINED;
		}
		if (suspect.isOnTrial(this.clock.millis())) {
			return SuspectStatus.ON_TRIAL;
		}
		return (suspect.strikes() > 0) ? SuspectStatus.SUSPECT : SuspectStatus.CLEAR;
	}

	/**
	 * Records a crash observed by this process, which ends a trial on this VM.
	 * @param fingerprint the fingerprint of the request
	 * @param regions the home regions of the request, empty for all regions
	 * @return the entry to send to peers
	 */
	SuspectEntry recordCrash(Fingerprint fingerprint, Set<Region> regions) {
		Suspect suspect = findOrAdd(fingerprint.value(), regionNames(regions), this.clock.millis());
		suspect.mergeStrikes(ownOrigin(), suspect.strikesOf(ownOrigin()) + 1);
		suspect.recordCrash(this.clock.millis());
		suspect.endTrial(this.self.vm());
		recordChange(suspect);
		return toNoticeEntry(suspect);
	}

	SuspectEntry startTrial(Fingerprint fingerprint, long trialMs, Set<Region> regions) {
		Suspect suspect = findOrAdd(fingerprint.value(), regionNames(regions), this.clock.millis());
		suspect.setTrial(this.self.vm(), this.clock.millis() + trialMs);
		recordChange(suspect);
		return toNoticeEntry(suspect);
	}

	@Nullable SuspectEntry endTrial(Fingerprint fingerprint, boolean answered) {
		Suspect suspect = find(fingerprint.value());
		if (suspect == null) {
			return null;
		}
		suspect.endTrial(this.self.vm());
		if (answered) {
			suspect.mergeClearedStrikes(suspect.totalStrikes());
		}
		recordChange(suspect);
		return toNoticeEntry(suspect);
	}

	boolean hasPrecedingTrial(String fingerprint) {
		Suspect suspect = find(fingerprint);
		return suspect != null && suspect.hasPrecedingTrial(this.self.vm(), this.clock.millis());
	}

	/**
	 * Merges the entry of a notice.
	 * @param from the VM of the sender
	 * @param origin the VM and incarnation of the sender
	 * @param entry the strikes and the trial that the sender itself recorded
	 */
	void mergeNotice(VmName from, String origin, SuspectEntry entry) {
		Suspect suspect = merge(from, entry, this.clock.millis());
		if (suspect != null) {
			suspect.mergeStrikes(origin, Math.max(0, entry.strikes()));
			recordChange(suspect);
		}
	}

	/**
	 * Merges an entry of a digest.
	 * @param from the VM of the sender
	 * @param entry the entry
	 * @param sentAt a lower bound for the time at which the digest was written, or the
	 * time of its receipt if no bound is known, in monotonic milliseconds
	 */
	void mergeDigestEntry(VmName from, SuspectEntry entry, long sentAt) {
		Suspect suspect = merge(from, entry, sentAt);
		if (suspect != null && entry.strikes() > suspect.totalStrikes()) {
			suspect.mergeTotal(entry.strikes());
			recordChange(suspect);
		}
	}

	long changeCount() {
		return this.changeCount;
	}

	List<Suspect> changedAfter(long afterChange) {
		if (afterChange >= this.changeCount) {
			return List.of();
		}
		return this.suspectsByFingerprint.values()
			.stream()
			.filter((suspect) -> suspect.change() > afterChange && !isExpired(suspect))
			.sorted(Comparator.comparingLong(Suspect::change))
			.toList();
	}

	SuspectEntry toEntry(Suspect suspect) {
		return toEntry(suspect, suspect.totalStrikes());
	}

	List<SuspectEntry> entries() {
		return this.suspectsByFingerprint.values()
			.stream()
			.filter((suspect) -> !isExpired(suspect) && suspect.strikes() > 0)
			.sorted(Comparator.comparing(Suspect::fingerprint))
			.map(this::toEntry)
			.toList();
	}

	void expire() {
		this.suspectsByFingerprint.values().removeIf(this::isExpired);
	}

	private @Nullable Suspect merge(VmName from, SuspectEntry entry, long sentAt) {
		long crashedAt = sentAt - Math.max(0, entry.ageMs());
		if (this.clock.millis() - crashedAt > this.activeSettings.quarantine().forgetMs()) {
			return null;
		}
		Suspect suspect = findOrAdd(entry.fingerprint(), entry.regions(), crashedAt);
		suspect.recordCrash(crashedAt);
		suspect.mergeClearedStrikes(entry.cleared());
		if (entry.trialMs() > 0) {
			suspect.setTrial(from, this.clock.millis() + entry.trialMs());
		}
		else {
			suspect.endTrial(from);
		}
		return suspect;
	}

	private @Nullable Suspect find(String fingerprint) {
		Suspect suspect = this.suspectsByFingerprint.get(fingerprint);
		return (suspect == null || isExpired(suspect)) ? null : suspect;
	}

	private Suspect findOrAdd(String fingerprint, List<String> regions, long crashedAt) {
		Suspect known = find(fingerprint);
		if (known != null) {
			return known;
		}
		if (this.suspectsByFingerprint.size() >= Math.max(1, this.activeSettings.quarantine().capacity())) {
			dropOldest();
		}
		Suspect added = new Suspect(fingerprint, regions);
		added.recordCrash(crashedAt);
		this.suspectsByFingerprint.put(fingerprint, added);
		return added;
	}

	private void dropOldest() {
		Comparator<Suspect> dropOrder = Comparator.comparing(this::isQuarantined)
			.thenComparingLong(Suspect::lastCrashAt);
		this.suspectsByFingerprint.values()
			.stream()
			.min(dropOrder)
			.ifPresent((oldest) -> this.suspectsByFingerprint.remove(oldest.fingerprint()));
	}

	private boolean isExpired(Suspect suspect) {
		return this.clock.millis() - suspect.lastCrashAt() > this.activeSettings.quarantine().forgetMs();
	}

	private boolean isQuarantined(Suspect suspect) {
		return suspect.strikes() >= this.activeSettings.quarantine().strikes();
	}

	// Assigns a sequence number to the change, by which digests select suspects, and
	// records in the audit trail when the request is first quarantined.
	private void recordChange(Suspect suspect) {
		suspect.setChange(++this.changeCount);
		if (isQuarantined(suspect) && !suspect.isQuarantineAudited()) {
			suspect.setQuarantineAudited();
			this.audit.add("request.quarantined", "fingerprint", suspect.fingerprint(), "strikes", suspect.strikes());
		}
	}

	// A notice contains only the strikes recorded by this process, because the receivers
	// add up the strikes of all processes.
	private SuspectEntry toNoticeEntry(Suspect suspect) {
		return toEntry(suspect, suspect.strikesOf(ownOrigin()));
	}

	private SuspectEntry toEntry(Suspect suspect, int strikes) {
		long now = this.clock.millis();
		long trialMs = Math.max(0, suspect.trialUntil(this.self.vm()) - now);
		return new SuspectEntry(suspect.fingerprint(), strikes, Math.max(0, now - suspect.lastCrashAt()), trialMs,
				suspect.regions(), suspect.clearedStrikes());
	}

	private String ownOrigin() {
		return origin(this.self.vm(), this.self.incarnation().toString());
	}

	static String origin(VmName vm, String incarnation) {
		return vm + "." + incarnation;
	}

	private static List<String> regionNames(Set<Region> regions) {
		List<String> names = new ArrayList<>();
		regions.stream().sorted().forEach((region) -> names.add(region.value()));
		return names;
	}

}
