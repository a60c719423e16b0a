package org.lovagevale.bench;

/**
 * What the processes of a simulated exchange sent and read since the start.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param digests digests
 * @param digestBytes bytes of digests with their frames
 * @param others other messages
 * @param otherBytes bytes of other messages with their frames
 * @param reads reads of the settings and of the list of VMs
 */
record ExchangeTotals(long digests, long digestBytes, long others, long otherBytes, long reads) {

	ExchangeTotals plusMessage(boolean isDigest, long bytes) {
		if (isDigest) {
			return new ExchangeTotals(this.digests + 1, this.digestBytes + bytes, this.others, this.otherBytes,
					this.reads);
		}
		return new ExchangeTotals(this.digests, this.digestBytes, this.others + 1, this.otherBytes + bytes, this.reads);
	}

	ExchangeTotals plusRead() {
		return new ExchangeTotals(this.digests, this.digestBytes, this.others, this.otherBytes, this.reads + 1);
	}

	ExchangeTotals minus(ExchangeTotals before) {
		return new ExchangeTotals(this.digests - before.digests, this.digestBytes - before.digestBytes,
				this.others - before.others, this.otherBytes - before.otherBytes, this.reads - before.reads);
	}

}
