package org.lovagevale.core.catalog;

/**
 * A published item in encoded form.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param key the key
 * @param revision the revision of its last change
 * @param value the encoded value
 */
public record PublishedItem(String key, long revision, String value) {
}
