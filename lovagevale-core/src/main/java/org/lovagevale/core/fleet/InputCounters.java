package org.lovagevale.core.fleet;

/**
 * Counts the input that was dropped or ignored, and the settings bodies received from
 * peers.
 *
 * <p>
 * Not thread-safe.
 */
final class InputCounters {

	private long outsideHome;

	private long malformed;

	private long staleVersions;

	private long bodies;

	void countOutsideHome() {
		this.outsideHome++;
	}

	void countMalformed() {
		this.malformed++;
	}

	void countStaleVersion() {
		this.staleVersions++;
	}

	void countSettingsBody() {
		this.bodies++;
	}

	FleetCounters toFleetCounters() {
		return new FleetCounters(this.outsideHome, this.malformed, this.staleVersions, this.bodies);
	}

}
