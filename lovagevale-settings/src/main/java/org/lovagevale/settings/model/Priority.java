package org.lovagevale.settings.model;

/**
 * The order in which requests are admitted under overload.
 */
public enum Priority {

	/** Rejected last, for example transfers. */
	CRITICAL,

	/** The default. */
	NORMAL,

	/** Rejected first, for example archive lookups. */
	BACKGROUND

}
