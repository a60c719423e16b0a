package org.lovagevale.core.message;

/**
 * Acknowledges a {@link SuspectNotice}.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the notice
 */
public record SuspectNoticeAck(long id) implements PeerMessage {
}
