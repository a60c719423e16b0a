package org.lovagevale.core.message;

/**
 * A connection to a server that was lost while a request ran there.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the entry VM that sent the request
 * @param number the number of its slot request
 * @param ageMs the time since the strike, in milliseconds
 * @param cleared whether the strike no longer counts
 */
public record CrashStrikeEntry(String vm, long number, long ageMs, boolean cleared) {
}
