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
 * What the handling of requests needs to know of, and tells to, the fleet.
 *
 * <p>
 * Every method reads the clock, so that a process that was paused sees how old its
 * knowledge is. Not thread-safe.
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
	 * Returns the time for which this process owns a backend server, that is, may send to
	 * it while it is cold and may probe it.
	 * @param server the server
	 * @return the time left in the window less the largest clock difference, in
	 * milliseconds; 0 if this process does not own it or may not rely on it
	 */
	long ownedForMs(BackendServer server);

	/**
	 * Returns what peers said about a backend server.
	 * @param server the server
	 * @return the latest entry with its age brought up to date, or {@code null} if there
	 * is none
	 */
	@Nullable ServerEntry peerReport(ServerName server);

	/**
	 * Tells whether the platform lists a backend server as leaving.
	 * @param server the server
	 * @return {@code true} if it is leaving
	 */
	boolean isLeaving(ServerName server);

	/**
	 * Records a state of a backend server that this process observed itself, to be told
	 * to peers.
	 * @param server the server
	 * @param state the state
	 * @param boot the identifier of its run, empty if not known
	 */
	void recordState(ServerName server, ServerState state, String boot);

	/**
	 * Returns what is known about a fingerprint.
	 * @param fingerprint the fingerprint
	 * @return the status
	 */
	SuspectStatus suspectStatus(Fingerprint fingerprint);

	/**
	 * Records a crash and tells the peers in the given regions.
	 * @param fingerprint the fingerprint of the request
	 * @param regions the regions that may know of it, empty for all
	 * @return the identity of the notice, for {@link #isNoticeSettled(long)}
	 */
	long strike(Fingerprint fingerprint, Set<Region> regions);

	/**
	 * Records that a trial of a suspect starts and tells the peers.
	 * @param fingerprint the fingerprint of the request
	 * @param trialMs the longest time of the trial in milliseconds
	 * @param regions the regions that may know of it, empty for all
	 * @return the identity of the notice; the trial may start once it is settled
	 */
	long startTrial(Fingerprint fingerprint, long trialMs, Set<Region> regions);

	/**
	 * Records that a trial ended without a crash.
	 * @param fingerprint the fingerprint of the request
	 * @param regions the regions that may know of it, empty for all
	 * @param answered whether a backend server answered, which clears the strikes known
	 * so far
	 */
	void endTrial(Fingerprint fingerprint, Set<Region> regions, boolean answered);

	/**
	 * Tells whether every reachable peer acknowledged a notice or the longest wait has
	 * passed.
	 * @param noticeId the notice
	 * @return {@code true} if nobody needs to wait for it any more
	 */
	boolean isNoticeSettled(long noticeId);

	/**
	 * Sends a query for the outcome of a key to its owner, if the owner may know of it.
	 * @param key the key
	 * @param regions the home regions of the request, empty for all
	 * @return the identity of the query, for {@link #outcomeOf(long)}
	 */
	long queryOutcome(IdempotencyKey key, Set<Region> regions);

	/**
	 * Returns the answer to a query.
	 * @param queryId the query
	 * @return the outcome, {@link Outcome#UNKNOWN} if the owner cannot be reached in
	 * time, or {@code null} while the answer is awaited
	 */
	@Nullable Outcome outcomeOf(long queryId);

}
