package org.lovagevale.core.message;

/**
 * Asks for the settings.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param knownVersion the version that the sender has, 0 if none
 */
public record SettingsRequest(long knownVersion) implements PeerMessage {
}
