package org.lovagevale.core.message;

/**
 * Reports that a backend server has announced that it is leaving.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param server the name of the backend server
 * @param startedAtEpochMs the start of the run that is leaving, in milliseconds since the
 * epoch
 */
public record ServerLeaving(String server, long startedAtEpochMs) implements RegionMessage {
}
