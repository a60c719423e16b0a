package org.lovagevale.core.message;

/**
 * Asks for everything that was read from the platform.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param have the revision that the sender has
 */
public record CatalogRequest(long have) implements RegionMessage {
}
