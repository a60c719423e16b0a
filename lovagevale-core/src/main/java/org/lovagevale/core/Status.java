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
 * @param permission whether the process may start new work
 * @param phase the phase of the process
 * @param settingsVersion the version of the current settings, 0 if none
 * @param confirmedAgeMs the time since the platform confirmed that version in
 * milliseconds, -1 if never
 * @param members the known entry processes
 * @param servers the backend servers
 * @param suspects the requests that crashed backend servers
 * @param keys the number of stored idempotency keys
 * @param running the number of requests in progress
 * @param queued the number of requests waiting for a backend server
 */
public record Status(WorkPermission permission, MemberPhase phase, long settingsVersion, long confirmedAgeMs,
		List<MemberEntry> members, List<ServerStatus> servers, List<SuspectEntry> suspects, int keys, int running,
		int queued) {
}
