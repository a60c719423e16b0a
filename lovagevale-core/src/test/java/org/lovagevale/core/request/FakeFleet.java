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
 * A {@link Fleet} whose answers are set by tests.
 */
final class FakeFleet implements Fleet {

	@Nullable Settings settings;

	WorkPermission permission = WorkPermission.OPEN;

	/**
	 * The number of permission checks that succeed before the process is fenced, as
	 * happens when a process is paused.
	 */
	int callsUntilFenced = Integer.MAX_VALUE;

	/**
	 * Time in milliseconds for which this process owns each server. Servers without an
	 * entry are not owned.
	 */
	final Map<String, Long> ownedMs = new HashMap<>();

	final Map<String, ServerEntry> peerReports = new HashMap<>();

	final Set<String> leaving = new HashSet<>();

	final Map<Fingerprint, Integer> strikes = new HashMap<>();

	final Set<Fingerprint> trials = new HashSet<>();

	boolean noticesSettled = true;

	@Nullable Outcome outcome;

	int queries;

	private final Consumer<String> log;

	private long notice;

	FakeFleet(Consumer<String> log) {
		this.log = log;
	}

	@Override
	public @Nullable Settings settings() {
		return this.settings;
	}

	@Override
	public WorkPermission permission() {
		this.callsUntilFenced--;
		return (this.callsUntilFenced >= 0) ? this.permission : WorkPermission.FENCED;
	}

	@Override
	public long ownedForMs(BackendServer server) {
		return this.ownedMs.getOrDefault(server.name().value(), 0L);
	}

	@Override
	public @Nullable ServerEntry peerReport(ServerName server) {
		return this.peerReports.get(server.value());
	}

	@Override
	public boolean isLeaving(ServerName server) {
		return this.leaving.contains(server.value());
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
		return (this.trials.contains(fingerprint)) ? SuspectStatus.ON_TRIAL : SuspectStatus.SUSPECT;
	}

	@Override
	public long recordCrash(Fingerprint fingerprint, Set<Region> regions) {
		this.log.accept("strike " + fingerprint + " " + regions);
		this.strikes.merge(fingerprint, 1, Integer::sum);
		this.trials.remove(fingerprint);
		this.notice++;
		return this.notice;
	}

	@Override
	public long startTrial(Fingerprint fingerprint, long trialMs, Set<Region> regions) {
		this.log.accept("start-trial " + fingerprint + " " + trialMs + " " + regions);
		this.trials.add(fingerprint);
		this.notice++;
		return this.notice;
	}

	@Override
	public void endTrial(Fingerprint fingerprint, Set<Region> regions, boolean answered) {
		this.log.accept("end-trial " + fingerprint + " " + regions);
		this.trials.remove(fingerprint);
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
		this.queries++;
		return this.queries;
	}

	@Override
	public @Nullable Outcome outcomeOf(long queryId) {
		return this.outcome;
	}

}
