package org.lovagevale.ctl;

/**
 * The exit codes of the tool.
 */
enum ExitCode {

	/** The command succeeded. */
	SUCCESS(0),

	/** The settings tree is invalid, or the process does not have the requested item. */
	INCORRECT(1),

	/** The command line is not valid. */
	USAGE(2),

	/**
	 * A file cannot be read, a process does not respond as expected, or an internal error
	 * occurred.
	 */
	ENVIRONMENT(3);

	private final int value;

	ExitCode(int value) {
		this.value = value;
	}

	int value() {
		return this.value;
	}

}
