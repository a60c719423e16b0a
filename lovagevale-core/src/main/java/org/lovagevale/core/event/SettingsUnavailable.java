package org.lovagevale.core.event;

/**
 * The settings service could not be read.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param reason why
 */
public record SettingsUnavailable(String reason) implements Event {
}
