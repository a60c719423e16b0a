package org.lovagevale.ctl;

/**
 * The output formats.
 */
enum OutputFormat {

	/** Lines and tables of text. */
	TEXT,

	/** One JSON value. */
	JSON

}
