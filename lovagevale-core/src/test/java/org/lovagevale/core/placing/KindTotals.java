package org.lovagevale.core.placing;

/**
 * What the simulated callers of one kind of requests got.
 */
final class KindTotals {

	int callers;

	int served;

	int inTime;

	int refusedOnce;

	int returnedServed;

	int tooLate;

	int relayed;

	double servedShare() {
		return (double) this.served / this.callers;
	}

	@Override
	public String toString() {
		return "callers=%d served=%.3f inTime=%.3f refusedOnce=%.3f returnedServed=%.3f tooLate=%.3f relayed=%.3f"
			.formatted(this.callers, servedShare(), (double) this.inTime / this.callers,
					(double) this.refusedOnce / this.callers,
					(double) this.returnedServed / Math.max(1, this.refusedOnce), (double) this.tooLate / this.callers,
					(double) this.relayed / this.callers);
	}

}
