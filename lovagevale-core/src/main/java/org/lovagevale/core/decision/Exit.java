package org.lovagevale.core.decision;

/**
 * End the process.
 *
 * <p>
 * Immutable and thread-safe.
 */
public record Exit() implements Decision {
}
