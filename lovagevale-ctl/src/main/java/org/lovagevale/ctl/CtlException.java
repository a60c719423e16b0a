package org.lovagevale.ctl;

/**
 * Thrown when a command fails; carries the exit code and the message for the user.
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
	 * @param message the cause and what the user can do about it, in one line
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
