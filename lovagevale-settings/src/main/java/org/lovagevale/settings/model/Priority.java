package org.lovagevale.settings.model;

/**
 * The order in which requests are admitted under overload.
 */
public enum Priority {

	/** Refused last, for example transfers. */
	CRITICAL,

	/** The default. */
	NORMAL,

	/** Refused first, for example archive lookups. */
	BACKGROUND

}
