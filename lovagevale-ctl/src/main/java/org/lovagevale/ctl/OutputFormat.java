package org.lovagevale.ctl;

/**
 * The formats of results.
 */
enum OutputFormat {

	/** Tables for people. */
	TEXT,

	/** JSON for programs. */
	JSON

}
