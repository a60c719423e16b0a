package org.lovagevale.core.decision;

/**
 * Read the settings service once.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param afterVersion the version of the current settings, 0 if none
 * @param waitMs how long the service may wait for a newer version before it answers, in
 * milliseconds
 */
public record ReadSettings(long afterVersion, long waitMs) implements Decision {
}
