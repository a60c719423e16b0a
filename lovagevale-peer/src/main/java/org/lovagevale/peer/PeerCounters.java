package org.lovagevale.peer;

/**
 * A snapshot of the counters of messages that a process has exchanged with its peers
 * since its start.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param messagesSent the number of messages written
 * @param bytesSent the number of bytes written, including frame headers
 * @param messagesReceived the number of messages received and accepted
 * @param bytesReceived the number of bytes in accepted messages, including frame headers
 * @param dropped the number of messages not sent because there was no link, its buffer
 * was full or the message could not be encoded
 * @param rejected the number of malformed, oversized or unexpected messages received, and
 * of I/O errors on links
 * @param links the number of open links
 */
public record PeerCounters(long messagesSent, long bytesSent, long messagesReceived, long bytesReceived, long dropped,
		long rejected, int links) {
}
