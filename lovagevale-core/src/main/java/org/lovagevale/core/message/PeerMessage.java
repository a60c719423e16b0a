package org.lovagevale.core.message;

/**
 * A message between entry processes.
 *
 * <p>
 * Times are ages or durations, never clock readings, since clocks of VMs differ.
 */
public sealed interface PeerMessage permits Hello, Digest, SettingsRequest, SettingsBody, Notice, NoticeAck,
		OutcomeQuery, OutcomeAnswer, KeyArchive, RegionMessage {

}
