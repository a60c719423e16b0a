package org.lovagevale.core.event;

/**
 * The process was asked to stop.
 *
 * <p>
 * Immutable and thread-safe.
 */
public record StopRequested() implements Event {
}
