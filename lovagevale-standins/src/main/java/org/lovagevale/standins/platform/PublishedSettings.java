package org.lovagevale.standins.platform;

/**
 * A published version of the settings tree.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param version the version, positive
 * @param content the tree as published
 */
public record PublishedSettings(long version, String content) {
}
