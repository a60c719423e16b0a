package org.lovagevale.standins.platform;

/**
 * What the platform stand-in counts.
 */
public enum PlatformCounter {

	/** Reads of settings, with watches; each watch counts once. */
	SETTINGS_READS,

	/** Reads of settings that were prepared to wait. */
	WATCHES,

	/** Reads answered with a tree. */
	TREES,

	/** Reads answered with 304. */
	UNCHANGED,

	/** Reads rejected with 429. */
	THROTTLED,

	/** Reads of the VM list. */
	VM_READS,

	/** Requests that failed because of an outage. */
	OUTAGE_FAILURES

}
