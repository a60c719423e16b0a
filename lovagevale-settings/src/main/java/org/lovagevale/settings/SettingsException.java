package org.lovagevale.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown when a settings tree has errors; the tree is rejected as a whole.
 *
 * <p>
 * Immutable and thread-safe.
 */
public final class SettingsException extends Exception {

	private static final long serialVersionUID = 1L;

	private final transient List<SettingsError> errors;

	/**
	 * Creates an exception.
	 * @param errors the errors found, at least one
	 */
	public SettingsException(List<SettingsError> errors) {
		super(errors.stream().map(SettingsError::toString).collect(Collectors.joining("; ")));
		this.errors = List.copyOf(errors);
	}

	/**
	 * Returns the errors.
	 * @return the errors found, in order of line and column
	 */
	public List<SettingsError> errors() {
		return this.errors;
	}

}
