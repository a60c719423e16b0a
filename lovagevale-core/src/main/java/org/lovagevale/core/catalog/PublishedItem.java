package org.lovagevale.core.catalog;

/**
 * One item as it was published, not yet decoded.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param key the key
 * @param revision the revision of its last change
 * @param value the text of its value
 */
public record PublishedItem(String key, long revision, String value) {
}
