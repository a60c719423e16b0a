package org.lovagevale.core.event;

/**
 * The platform confirmed that no newer version of the settings exists.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param version the confirmed version
 */
public record SettingsConfirmed(long version) implements Event {
}
