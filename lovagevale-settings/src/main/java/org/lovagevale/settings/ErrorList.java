package org.lovagevale.settings;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Collects the errors of one tree, so that all are reported at once.
 *
 * <p>
 * Not thread-safe.
 */
final class ErrorList {

	private static final Comparator<SettingsError> BY_PLACE = Comparator.comparingInt(SettingsError::line)
		.thenComparingInt(SettingsError::column)
		.thenComparing(SettingsError::path);

	/**
	 * A set, because an inherited value is checked again in each place that inherits it.
	 */
	private final Set<SettingsError> errors = new LinkedHashSet<>();

	void add(Location location, String reason) {
		this.errors.add(new SettingsError(location.path(), location.line(), location.column(), reason));
	}

	void throwIfAny() throws SettingsException {
		if (!this.errors.isEmpty()) {
			throw new SettingsException(this.errors.stream().sorted(BY_PLACE).toList());
		}
	}

}
