package org.lovagevale.core.decision;

import org.lovagevale.settings.model.Settings;

/**
 * Use these settings for connections and listeners from now on.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param settings the settings in force
 */
public record ApplySettings(Settings settings) implements Decision {
}
