package org.lovagevale.core.decision;

/**
 * Stop accepting new connections from callers.
 *
 * <p>
 * Immutable and thread-safe.
 */
public record StopAccepting() implements Decision {
}
