package org.lovagevale.peer;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the messages exchanged with peers; {@link PeerCounters} is a snapshot of the
 * counts.
 *
 * <p>
 * Thread-safe.
 */
final class PeerCounterRecorder {

	private final LongAdder messagesSent = new LongAdder();

	private final LongAdder bytesSent = new LongAdder();

	private final LongAdder messagesReceived = new LongAdder();

	private final LongAdder bytesReceived = new LongAdder();

	private final LongAdder dropped = new LongAdder();

	private final LongAdder rejected = new LongAdder();

	void countSent(int bytes) {
		this.messagesSent.increment();
		this.bytesSent.add(bytes);
	}

	void countReceived(int bytes) {
		this.messagesReceived.increment();
		this.bytesReceived.add(bytes);
	}

	void countDropped() {
		this.dropped.increment();
	}

	void countRejected() {
		this.rejected.increment();
	}

	PeerCounters snapshot(int links) {
		return new PeerCounters(this.messagesSent.sum(), this.bytesSent.sum(), this.messagesReceived.sum(),
				this.bytesReceived.sum(), this.dropped.sum(), this.rejected.sum(), links);
	}

}
