package org.lovagevale.core.fleet;

/**
 * Counts the input that was dropped or ignored, and the settings bodies that peers sent.
 *
 * <p>
 * Not thread-safe.
 */
final class InputCounters {

	private long outsideHomeRegions;

	private long malformed;

	private long staleVersions;

	private long settingsBodies;

	void countOutsideHomeRegions() {
		this.outsideHomeRegions++;
	}

	void countMalformed() {
		this.malformed++;
	}

	void countStaleVersion() {
		this.staleVersions++;
	}

	void countSettingsBody() {
		this.settingsBodies++;
	}

	FleetCounters toFleetCounters() {
		return new FleetCounters(this.outsideHomeRegions, this.malformed, this.staleVersions, this.settingsBodies);
	}

}
