package org.lovagevale.core.message;

/**
 * Acknowledges a notice.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the notice
 */
public record NoticeAck(long id) implements PeerMessage {
}
