package org.lovagevale.core.message;

/**
 * Requests all catalog items that were read from the platform.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param knownRevision the catalog revision of the sender
 */
public record CatalogRequest(long knownRevision) implements RegionMessage {
}
