package org.lovagevale.core.message;

/**
 * A message between entry processes.
 *
 * <p>
 * Messages carry times as ages or durations and never as clock readings, because the
 * clocks of VMs differ.
 */
public sealed interface PeerMessage permits Hello, Digest, SettingsRequest, SettingsBody, SuspectNotice,
		SuspectNoticeAck, OutcomeQuery, OutcomeAnswer, KeyArchive, RegionMessage {

}
