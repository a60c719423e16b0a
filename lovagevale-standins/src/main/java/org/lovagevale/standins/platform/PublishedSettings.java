package org.lovagevale.standins.platform;

/**
 * A published version of the settings tree.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param version the version, positive
 * @param content the text of the settings tree
 */
public record PublishedSettings(long version, String content) {
}
