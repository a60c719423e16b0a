package org.lovagevale.ctl;

/**
 * The exit codes of the tool.
 */
enum ExitCode {

	/** The command succeeded. */
	SUCCESS(0),

	/** The checked item is not correct. */
	INCORRECT(1),

	/** The command line is not valid. */
	USAGE(2),

	/** A file cannot be read or a process cannot be reached. */
	ENVIRONMENT(3);

	private final int value;

	ExitCode(int value) {
		this.value = value;
	}

	int value() {
		return this.value;
	}

}
