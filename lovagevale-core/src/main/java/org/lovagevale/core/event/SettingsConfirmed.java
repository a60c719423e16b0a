package org.lovagevale.core.event;

/**
 * The platform said that no version newer than the given one exists.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param version the version
 */
public record SettingsConfirmed(long version) implements Event {
}
