package org.lovagevale.core.message;

/**
 * Requests the settings.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param knownVersion the settings version of the sender, 0 if none
 */
public record SettingsRequest(long knownVersion) implements PeerMessage {
}
