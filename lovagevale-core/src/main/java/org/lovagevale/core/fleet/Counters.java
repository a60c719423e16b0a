package org.lovagevale.core.fleet;

/**
 * Counts what was received and not used.
 *
 * <p>
 * Not thread-safe.
 */
final class Counters {

	private long outsideHome;

	private long malformed;

	private long staleVersions;

	private long bodies;

	void outsideHome() {
		this.outsideHome++;
	}

	void malformed() {
		this.malformed++;
	}

	void staleVersion() {
		this.staleVersions++;
	}

	void body() {
		this.bodies++;
	}

	FleetCounters toFleetCounters() {
		return new FleetCounters(this.outsideHome, this.malformed, this.staleVersions, this.bodies);
	}

}
