package org.lovagevale.core.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.ServerState;
import org.lovagevale.core.fleet.Fleet;
import org.lovagevale.core.fleet.SuspectStatus;
import org.lovagevale.core.fleet.WorkPermission;
import org.lovagevale.core.keys.IdempotencyKey;
import org.lovagevale.core.message.ServerEntry;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.Settings;

/**
 * A {@link Fleet} whose state is set by tests and which logs what is reported to it.
 */
final class FakeFleet implements Fleet {

	@Nullable Settings settings;

	WorkPermission permission = WorkPermission.OPEN;

	/**
	 * Number of permission checks after which the process is fenced, as if it had been
	 * paused between two checks.
	 */
	int permissionChecksUntilFenced = Integer.MAX_VALUE;

	/**
	 * Time for which this process still owns each server, in milliseconds. Servers
	 * without an entry are not owned.
	 */
	final Map<String, Long> ownedMsByServer = new HashMap<>();

	final Map<String, ServerEntry> peerReports = new HashMap<>();

	final Set<String> leavingServers = new HashSet<>();

	final Map<Fingerprint, Integer> strikes = new HashMap<>();

	final Set<Fingerprint> runningTrials = new HashSet<>();

	boolean noticesSettled = true;

	@Nullable Outcome queriedOutcome;

	int lastQueryId;

	private final Consumer<String> log;

	private long lastNoticeId;

	FakeFleet(Consumer<String> log) {
		this.log = log;
	}

	@Override
	public @Nullable Settings settings() {
		return this.settings;
	}

	@Override
	public WorkPermission permission() {
		this.permissionChecksUntilFenced--;
		return (this.permissionChecksUntilFenced >= 0) ? this.permission : WorkPermission.FENCED;
	}

	@Override
	public long ownedForMs(BackendServer server) {
		return this.ownedMsByServer.getOrDefault(server.name().value(), 0L);
	}

	@Override
	public @Nullable ServerEntry peerReport(ServerName server) {
		return this.peerReports.get(server.value());
	}

	@Override
	public boolean isLeaving(ServerName server) {
		return this.leavingServers.contains(server.value());
	}

	@Override
	public void recordState(ServerName server, ServerState state, String boot) {
		this.log.accept("tell " + server + " " + state);
	}

	@Override
	public SuspectStatus suspectStatus(Fingerprint fingerprint) {
		int count = this.strikes.getOrDefault(fingerprint, 0);
		if (count == 0) {
			return SuspectStatus.CLEAR;
		}
		if (count > 1) {
			return SuspectStatus.QUARANTINED;
		}
		return (this.runningTrials.contains(fingerprint)) ? SuspectStatus.ON_TRIAL : SuspectStatus.SUSPECT;
	}

	@Override
	public long recordCrash(Fingerprint fingerprint, Set<Region> regions) {
		this.log.accept("strike " + fingerprint + " " + regions);
		this.strikes.merge(fingerprint, 1, Integer::sum);
		this.runningTrials.remove(fingerprint);
		this.lastNoticeId++;
		return this.lastNoticeId;
	}

	@Override
	public long startTrial(Fingerprint fingerprint, long trialMs, Set<Region> regions) {
		this.log.accept("start-trial " + fingerprint + " " + trialMs + " " + regions);
		this.runningTrials.add(fingerprint);
		this.lastNoticeId++;
		return this.lastNoticeId;
	}

	@Override
	public void endTrial(Fingerprint fingerprint, Set<Region> regions, boolean answered) {
		this.log.accept("end-trial " + fingerprint + " " + regions);
		this.runningTrials.remove(fingerprint);
		if (answered) {
			this.strikes.remove(fingerprint);
		}
	}

	@Override
	public boolean isNoticeSettled(long noticeId) {
		return this.noticesSettled;
	}

	@Override
	public long queryOutcome(IdempotencyKey key, Set<Region> regions) {
		this.log.accept("query " + key + " " + regions);
		this.lastQueryId++;
		return this.lastQueryId;
	}

	@Override
	public @Nullable Outcome outcomeOf(long queryId) {
		return this.queriedOutcome;
	}

}
