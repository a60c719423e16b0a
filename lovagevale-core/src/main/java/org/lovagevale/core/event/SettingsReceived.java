package org.lovagevale.core.event;

import org.lovagevale.settings.model.Settings;

/**
 * A checked version of the settings arrived from the platform or a peer.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param settings the settings
 * @param content the tree as published, kept for peers
 * @param fromPlatform whether the platform sent it
 */
public record SettingsReceived(Settings settings, String content, boolean fromPlatform) implements Event {
}
