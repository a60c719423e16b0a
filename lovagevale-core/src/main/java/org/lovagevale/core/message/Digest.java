package org.lovagevale.core.message;

import java.util.List;

/**
 * A periodic summary, with what changed since the last one.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param members members
 * @param settingsVersion the highest version known, 0 if none
 * @param confirmedAgeMs time since the platform confirmed that version in milliseconds,
 * -1 if never
 * @param servers states of backend servers
 * @param suspects suspect requests
 */
public record Digest(List<MemberEntry> members, long settingsVersion, long confirmedAgeMs, List<ServerEntry> servers,
		List<SuspectEntry> suspects) implements PeerMessage {
}
