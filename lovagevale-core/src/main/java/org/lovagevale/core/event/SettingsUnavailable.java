package org.lovagevale.core.event;

/**
 * The settings service could not be read.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param reason why the read failed
 */
public record SettingsUnavailable(String reason) implements Event {
}
