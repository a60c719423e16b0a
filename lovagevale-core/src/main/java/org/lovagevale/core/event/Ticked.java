package org.lovagevale.core.event;

/**
 * A timer fired. The process sends this event at least every 50 ms.
 *
 * <p>
 * Immutable and thread-safe.
 */
public record Ticked() implements Event {
}
