package org.lovagevale.core.message;

/**
 * The settings.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param version the version
 * @param baseVersion the version to which the content is a difference, 0 for a whole tree
 * @param content the tree as JSON with comments, or the difference
 */
public record SettingsBody(long version, long baseVersion, String content) implements PeerMessage {
}
