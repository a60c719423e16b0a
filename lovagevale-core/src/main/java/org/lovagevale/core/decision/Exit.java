package org.lovagevale.core.decision;

/**
 * Terminate the process.
 *
 * <p>
 * Immutable and thread-safe.
 */
public record Exit() implements Decision {
}
