package org.lovagevale.core.message;

/**
 * Asks for everything that was read from the platform.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param knownRevision the revision that the sender has
 */
public record CatalogRequest(long knownRevision) implements RegionMessage {
}
