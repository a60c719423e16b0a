package org.lovagevale.core.decision;

import org.lovagevale.settings.model.Settings;

/**
 * Apply these settings to connections and listeners.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param settings the current settings
 */
public record ApplySettings(Settings settings) implements Decision {
}
