package org.lovagevale.core.fleet;

/**
 * Whether a process may start new work.
 */
public enum WorkPermission {

	/** New work may start. */
	OPEN,

	/** No settings are in force yet, or it is not known whether they are the latest. */
	STARTING,

	/** The settings may be outdated, and other processes may have newer ones. */
	FENCED,

	/** A planned stop has closed the process to new work. */
	STOPPED

}
