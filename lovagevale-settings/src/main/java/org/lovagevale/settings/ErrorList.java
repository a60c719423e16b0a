package org.lovagevale.settings;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Collects the errors of one tree, so that all are reported at once.
 *
 * <p>
 * Not thread-safe.
 */
final class ErrorList {

	/**
	 * A tree with more is wrong as a whole, and a list of a million errors fills the
	 * memory.
	 */
	private static final int MAX_ERRORS = 1_000;

	/**
	 * Bounds the time that a tree with thousands of unknown names takes.
	 */
	private static final int MAX_SUGGESTIONS = 100;

	private static final Comparator<SettingsError> BY_PLACE = Comparator.comparingInt(SettingsError::line)
		.thenComparingInt(SettingsError::column)
		.thenComparing(SettingsError::path);

	/**
	 * A set, because an inherited value is checked again in each place that inherits it.
	 */
	private final Set<SettingsError> errors = new LinkedHashSet<>();

	private int omitted;

	private int suggestions;

	void add(Location location, String reason) {
		if (this.errors.size() < MAX_ERRORS) {
			this.errors.add(new SettingsError(location.path(), location.line(), location.column(), reason));
		}
		else {
			this.omitted++;
		}
	}

	/**
	 * Adds an error about an unknown name, with the nearest known name.
	 * @param location the place
	 * @param reason what is wrong
	 * @param name the unknown name
	 * @param known the known names
	 */
	void addUnknown(Location location, String reason, String name, Collection<String> known) {
		this.suggestions++;
		boolean suggest = this.suggestions <= MAX_SUGGESTIONS;
		add(location, suggest ? reason + NearestName.suggestion(name, known) : reason);
	}

	void throwIfAny() throws SettingsException {
		if (this.errors.isEmpty()) {
			return;
		}
		List<SettingsError> sorted = new ArrayList<>(this.errors);
		sorted.sort(BY_PLACE);
		if (this.omitted > 0) {
			sorted.add(new SettingsError("", 0, 0, "and " + this.omitted + " more errors"));
		}
		throw new SettingsException(sorted);
	}

}
