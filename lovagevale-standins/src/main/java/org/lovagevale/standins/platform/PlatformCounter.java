package org.lovagevale.standins.platform;

/**
 * Events that the platform stand-in counts.
 */
public enum PlatformCounter {

	/** Reads of the settings, including watches; each watch counts once. */
	SETTINGS_READS,

	/** Reads of the settings that may wait for a newer version (long polling). */
	WATCHES,

	/** Reads of the settings answered with a settings tree. */
	TREES,

	/** Reads of the settings answered with status 304. */
	UNCHANGED,

	/** Reads of the settings rejected with status 429. */
	THROTTLED,

	/** Reads of the VM list. */
	VM_READS,

	/** Requests that failed because of an outage. */
	OUTAGE_FAILURES

}
