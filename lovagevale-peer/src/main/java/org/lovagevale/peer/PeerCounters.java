package org.lovagevale.peer;

/**
 * A snapshot of what a process exchanged with its peers since its start.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param messagesSent messages written
 * @param bytesSent bytes written, with frame headers
 * @param messagesReceived messages accepted
 * @param bytesReceived bytes read, with frame headers
 * @param dropped messages not sent because a link was missing or its buffer full
 * @param rejected malformed, oversized or unexpected messages
 * @param links links open now
 */
public record PeerCounters(long messagesSent, long bytesSent, long messagesReceived, long bytesReceived, long dropped,
		long rejected, int links) {
}
