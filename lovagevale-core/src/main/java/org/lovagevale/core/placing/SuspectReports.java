package org.lovagevale.core.placing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.lovagevale.base.VmName;
import org.lovagevale.core.message.CrashStrikeEntry;
import org.lovagevale.core.message.CrashSuspectEntry;

/**
 * Tells which crash suspects another entry VM has not received from this process yet.
 *
 * <p>
 * What this process learned itself is reported to all receivers, what it learned from
 * another region to its own region, and what it learned from its own region only to
 * receivers that may have missed it. Invariant: a change is reported once to a receiver,
 * and again only after its connection was lost or it restarted. Not thread-safe.
 */
public final class SuspectReports {

	/** Maximum number of suspects in a report, which keeps messages small. */
	public static final int MAX_SUSPECTS = 64;

	private final CrashSuspects suspects;

	private final Map<VmName, Receiver> receivers = new HashMap<>();

	/**
	 * Creates an instance without receivers.
	 * @param suspects the suspects known to this process
	 */
	public SuspectReports(CrashSuspects suspects) {
		this.suspects = suspects;
	}

	/**
	 * Forgets what was reported to an entry VM, as the reports may have been lost.
	 * @param vm the entry VM
	 */
	public void forget(VmName vm) {
		this.receivers.remove(vm);
	}

	/**
	 * Forgets the receivers that are no longer there.
	 * @param vms the entry VMs that get reports
	 */
	public void retain(Set<VmName> vms) {
		this.receivers.keySet().retainAll(vms);
	}

	/**
	 * Returns the suspects that are due to an entry VM, which count as reported from then
	 * on.
	 * @param vm the entry VM
	 * @param sameRegion whether it is in the region of this process
	 * @param relays whether a receiver that is met for the first time also gets what
	 * others have reported to this process
	 * @param now the monotonic time in milliseconds
	 * @return at most {@link #MAX_SUSPECTS} suspects, those that changed first
	 */
	public List<CrashSuspectEntry> takeDue(VmName vm, boolean sameRegion, boolean relays, long now) {
		long version = this.suspects.version();
		Receiver receiver = this.receivers.get(vm);
		if (receiver == null) {
			if (version == 0) {
				return List.of();
			}
			receiver = new Receiver(relays ? version : 0);
			this.receivers.put(vm, receiver);
		}
		if (receiver.reported == version) {
			return List.of();
		}
		Receiver to = receiver;
		List<CrashSuspect> due = this.suspects.changedSince(to.reported)
			.filter((suspect) -> dueChange(suspect, sameRegion, to) > to.reported)
			.sorted(Comparator.comparingLong((suspect) -> dueChange(suspect, sameRegion, to)))
			.limit(MAX_SUSPECTS)
			.toList();
		boolean complete = due.size() < MAX_SUSPECTS;
		to.reported = complete ? version : dueChange(due.getLast(), sameRegion, to);
		return due.stream().map((suspect) -> toEntry(suspect, now)).toList();
	}

	// The receiver may have missed all changes up to the version at which it was met.
	private static long dueChange(CrashSuspect suspect, boolean sameRegion, Receiver receiver) {
		long due = suspect.changedIn(SuspectSource.LOCAL);
		for (SuspectSource source : new SuspectSource[] { SuspectSource.REGION, SuspectSource.OTHER_REGION }) {
			long change = suspect.changedIn(source);
			if (change <= receiver.metIn || sameRegion && source == SuspectSource.OTHER_REGION) {
				due = Math.max(due, change);
			}
		}
		return due;
	}

	private static CrashSuspectEntry toEntry(CrashSuspect suspect, long now) {
		return new CrashSuspectEntry(suspect.fingerprint(),
				suspect.strikes()
					.stream()
					.map((strike) -> new CrashStrikeEntry(strike.id().vm().value(), strike.id().number(),
							Math.max(0, now - strike.at()), strike.cleared()))
					.toList());
	}

	/**
	 * What one entry VM was told.
	 */
	private static final class Receiver {

		/**
		 * The version of the table when this receiver was met, 0 if others tell it what
		 * they reported before.
		 */
		private final long metIn;

		/** The version up to which all changes that are due were reported. */
		private long reported;

		private Receiver(long metIn) {
			this.metIn = metIn;
		}

	}

}
