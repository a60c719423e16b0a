package org.lovagevale.core.event;

import org.lovagevale.settings.model.Settings;

/**
 * A validated version of the settings arrived from the platform or a peer.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param settings the settings
 * @param content the settings tree as published, stored to be sent to peers
 * @param fromPlatform whether the platform sent it
 */
public record SettingsReceived(Settings settings, String content, boolean fromPlatform) implements Event {
}
