package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.lovagevale.base.ServerName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.BackendInstance;

/**
 * Tells which announcements of leaving servers an entry VM of the region has not received
 * from this process yet.
 *
 * <p>
 * Invariants: only runs that are listed and leaving are reported; a run is reported once
 * to a VM, and again only after its connection was lost, after it restarted, or after it
 * granted a slot of that run. Not thread-safe.
 */
public final class LeavingReports {

	private final ServerAnnouncements announcements;

	private final Map<VmName, Receiver> receivers = new HashMap<>();

	private Map<ServerName, BackendInstance> listed = Map.of();

	/** The listed runs that are leaving. */
	private Set<ServerRun> leaving = Set.of();

	private long announcementsVersion = -1;

	/** Increased with each change of {@link #leaving}. */
	private long version;

	/**
	 * Creates an instance without listed servers.
	 * @param announcements the announcements known to this process
	 */
	public LeavingReports(ServerAnnouncements announcements) {
		this.announcements = announcements;
	}

	/**
	 * Updates the listed servers.
	 * @param servers the listed servers
	 */
	public void update(Map<ServerName, BackendInstance> servers) {
		this.listed = servers;
		this.announcementsVersion = -1;
	}

	/**
	 * Records that an entry VM knows that a listed server is leaving.
	 * @param vm the entry VM
	 * @param run the run of the server
	 */
	public void recordKnown(VmName vm, ServerRun run) {
		BackendInstance instance = this.listed.get(run.server());
		if (instance != null && ServerRun.of(instance).equals(run)) {
			receiver(vm).known.add(run);
		}
	}

	/**
	 * Records that an entry VM has granted a slot of a server. If the server is leaving,
	 * the VM did not know it and may have missed the report.
	 * @param vm the entry VM
	 * @param server the server
	 */
	public void recordGrant(VmName vm, ServerName server) {
		BackendInstance instance = this.listed.get(server);
		if (instance != null && this.announcements.isLeaving(instance)) {
			Receiver receiver = receiver(vm);
			receiver.known.remove(ServerRun.of(instance));
			receiver.version = -1;
		}
	}

	/**
	 * Forgets what was reported to an entry VM, as the reports may have been lost.
	 * @param vm the entry VM
	 */
	public void forget(VmName vm) {
		this.receivers.remove(vm);
	}

	/**
	 * Returns the reports that are due to an entry VM, which count as sent from then on.
	 * @param vm the entry VM
	 * @return the runs that are leaving
	 */
	public Collection<ServerRun> takeDue(VmName vm) {
		refresh();
		if (this.leaving.isEmpty()) {
			return List.of();
		}
		Receiver receiver = receiver(vm);
		if (receiver.version == this.version) {
			return List.of();
		}
		receiver.version = this.version;
		receiver.known.retainAll(this.leaving);
		List<ServerRun> due = new ArrayList<>(this.leaving);
		due.removeAll(receiver.known);
		receiver.known.addAll(due);
		return due;
	}

	private void refresh() {
		if (this.announcementsVersion == this.announcements.leavingVersion()) {
			return;
		}
		this.announcementsVersion = this.announcements.leavingVersion();
		Set<ServerRun> next = new LinkedHashSet<>();
		for (BackendInstance instance : this.listed.values()) {
			if (this.announcements.isLeaving(instance)) {
				next.add(ServerRun.of(instance));
			}
		}
		if (!next.equals(this.leaving)) {
			this.leaving = next;
			this.version++;
		}
	}

	private Receiver receiver(VmName vm) {
		return this.receivers.computeIfAbsent(vm, (name) -> new Receiver());
	}

	/**
	 * What one entry VM knows.
	 */
	private static final class Receiver {

		private final Set<ServerRun> known = new HashSet<>();

		/** The value of {@link LeavingReports#version} at the last report. */
		private long version = -1;

	}

}
