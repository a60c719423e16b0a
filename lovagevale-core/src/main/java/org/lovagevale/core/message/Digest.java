package org.lovagevale.core.message;

import java.util.List;

/**
 * A periodic summary of the state of the sender, with the changes since its last digest.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param members the states of entry processes
 * @param settingsVersion the highest known version of the settings, 0 if none
 * @param confirmedAgeMs the time since the platform confirmed that version in
 * milliseconds, -1 if never
 * @param servers the states of backend servers
 * @param suspects the suspect requests
 */
public record Digest(List<MemberEntry> members, long settingsVersion, long confirmedAgeMs, List<ServerEntry> servers,
		List<SuspectEntry> suspects) implements PeerMessage {
}
