package org.lovagevale.ctl;

/**
 * Thrown when a command cannot do what was asked.
 *
 * <p>
 * Immutable and thread-safe.
 */
final class CtlException extends Exception {

	private static final long serialVersionUID = 1L;

	private final ExitCode exitCode;

	/**
	 * Creates an exception.
	 * @param exitCode the exit code of the process
	 * @param message what is wrong and what to do, in one line
	 */
	CtlException(ExitCode exitCode, String message) {
		super(message);
		this.exitCode = exitCode;
	}

	ExitCode exitCode() {
		return this.exitCode;
	}

	@Override
	public String getMessage() {
		return String.valueOf(super.getMessage());
	}

}
