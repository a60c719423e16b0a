package org.lovagevale.bench;

/**
 * The messages and platform reads of a simulated exchange, in total or between two points
 * in time.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param digests digests sent
 * @param digestBytes bytes of the digests, including framing
 * @param otherMessages other messages sent
 * @param otherBytes bytes of the other messages, including framing
 * @param reads reads of the settings and of the VM list from the platform
 */
record ExchangeTotals(long digests, long digestBytes, long otherMessages, long otherBytes, long reads) {

	ExchangeTotals plusMessage(boolean isDigest, long bytes) {
		if (isDigest) {
			return new ExchangeTotals(this.digests + 1, this.digestBytes + bytes, this.otherMessages, this.otherBytes,
					this.reads);
		}
		return new ExchangeTotals(this.digests, this.digestBytes, this.otherMessages + 1, this.otherBytes + bytes,
				this.reads);
	}

	ExchangeTotals plusRead() {
		return new ExchangeTotals(this.digests, this.digestBytes, this.otherMessages, this.otherBytes, this.reads + 1);
	}

	ExchangeTotals minus(ExchangeTotals before) {
		return new ExchangeTotals(this.digests - before.digests, this.digestBytes - before.digestBytes,
				this.otherMessages - before.otherMessages, this.otherBytes - before.otherBytes,
				this.reads - before.reads);
	}

}
