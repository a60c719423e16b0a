package org.lovagevale.core.event;

/**
 * Time passed. This event is sent at least every 50 ms.
 *
 * <p>
 * Immutable and thread-safe.
 */
public record Ticked() implements Event {
}
