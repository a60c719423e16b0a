package org.lovagevale.core;

import java.util.List;

import org.lovagevale.core.fleet.WorkPermission;
import org.lovagevale.core.message.MemberEntry;
import org.lovagevale.core.message.SuspectEntry;

/**
 * A summary of a process for operators.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param permission whether new work may start
 * @param phase the phase of the process
 * @param settingsVersion the version in force, 0 if none
 * @param confirmedAgeMs time since the platform confirmed it in milliseconds, -1 if never
 * @param members the entry processes that it knows
 * @param servers the backend servers
 * @param suspects requests that crashed backend servers
 * @param keys idempotency keys remembered
 * @param running requests in progress
 * @param queued requests that wait for a backend server
 */
public record Status(WorkPermission permission, MemberPhase phase, long settingsVersion, long confirmedAgeMs,
		List<MemberEntry> members, List<ServerStatus> servers, List<SuspectEntry> suspects, int keys, int running,
		int queued) {
}
