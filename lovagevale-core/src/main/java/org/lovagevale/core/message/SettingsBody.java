package org.lovagevale.core.message;

/**
 * Carries a version of the settings.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param version the version
 * @param baseVersion the version to which the difference applies, 0 if the content is a
 * whole tree
 * @param content the settings tree as JSON with comments, or the difference to the base
 * version
 */
public record SettingsBody(long version, long baseVersion, String content) implements PeerMessage {
}
