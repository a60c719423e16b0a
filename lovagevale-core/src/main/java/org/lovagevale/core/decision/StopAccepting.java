package org.lovagevale.core.decision;

/**
 * Accept no further connections from callers.
 *
 * <p>
 * Immutable and thread-safe.
 */
public record StopAccepting() implements Decision {
}
