package org.lovagevale.core.fleet;

import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.ServerState;
import org.lovagevale.core.keys.IdempotencyKey;
import org.lovagevale.core.message.ServerEntry;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.Settings;

/**
 * The state of the fleet that request handling reads, and the observations that it
 * reports.
 *
 * <p>
 * Every method reads the clock, so that a process that resumes after a pause notices how
 * old its data is. Not thread-safe.
 */
public interface Fleet {

	/**
	 * Returns the settings in force.
	 * @return the settings, or {@code null} if none are in force yet
	 */
	@Nullable Settings settings();

	/**
	 * Tells whether new work may start now.
	 * @return the permission
	 */
	WorkPermission permission();

	/**
	 * Returns the remaining time for which this process owns a backend server. Only the
	 * owner may probe a server or send requests to it while it is cold.
	 * @param server the server
	 * @return the time left in the ownership window minus the maximum clock skew, in
	 * milliseconds; 0 if this process does not own the server or cannot rely on its
	 * ownership
	 */
	long ownedForMs(BackendServer server);

	/**
	 * Returns the latest state of a backend server that peers reported.
	 * @param server the server
	 * @return the latest entry with its current age, or {@code null} if there is none
	 */
	@Nullable ServerEntry peerReport(ServerName server);

	/**
	 * Tells whether the platform lists a backend server as leaving.
	 * @param server the server
	 * @return {@code true} if it is leaving
	 */
	boolean isLeaving(ServerName server);

	/**
	 * Records the state of a backend server that this process observed itself, which is
	 * then announced to peers.
	 * @param server the server
	 * @param state the state
	 * @param boot the boot identifier of the server, empty if not known
	 */
	void recordState(ServerName server, ServerState state, String boot);

	/**
	 * Returns the quarantine status of a fingerprint.
	 * @param fingerprint the fingerprint
	 * @return the status
	 */
	SuspectStatus suspectStatus(Fingerprint fingerprint);

	/**
	 * Records that a request crashed a backend server and notifies the peers in the given
	 * regions.
	 * @param fingerprint the fingerprint of the request
	 * @param regions the home regions of the request, empty for all regions
	 * @return the identifier of the notice, for {@link #isNoticeSettled(long)}
	 */
	long recordCrash(Fingerprint fingerprint, Set<Region> regions);

	/**
	 * Records that a trial of a suspect starts and notifies the peers in the given
	 * regions.
	 * @param fingerprint the fingerprint of the request
	 * @param trialMs the maximum duration of the trial in milliseconds
	 * @param regions the home regions of the request, empty for all regions
	 * @return the identifier of the notice; the trial may start once it is settled
	 */
	long startTrial(Fingerprint fingerprint, long trialMs, Set<Region> regions);

	/**
	 * Records that a trial ended without a crash.
	 * @param fingerprint the fingerprint of the request
	 * @param regions the home regions of the request, empty for all regions
	 * @param answered whether a backend server answered, which clears the strikes known
	 * so far
	 */
	void endTrial(Fingerprint fingerprint, Set<Region> regions, boolean answered);

	/**
	 * Tells whether every peer to which a notice was sent acknowledged it or the maximum
	 * wait has passed. A trial notice also waits for trials on other VMs that take
	 * precedence.
	 * @param noticeId the identifier of the notice
	 * @return {@code true} if the notice need not be waited for any longer
	 */
	boolean isNoticeSettled(long noticeId);

	/**
	 * Queries the owner of an idempotency key, or the holders of its archive, for the
	 * outcome. Only peers in the home regions of the request are queried.
	 * @param key the key
	 * @param regions the home regions of the request, empty for all regions
	 * @return the identifier of the query, for {@link #outcomeOf(long)}
	 */
	long queryOutcome(IdempotencyKey key, Set<Region> regions);

	/**
	 * Returns the answer to a query.
	 * @param queryId the identifier of the query
	 * @return the outcome, {@link Outcome#UNKNOWN} if no answer arrives in time, or
	 * {@code null} while the answer is pending
	 */
	@Nullable Outcome outcomeOf(long queryId);

}
