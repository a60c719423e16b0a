package org.lovagevale.settings;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Collects the errors of a tree, so that all are reported together.
 *
 * <p>
 * Not thread-safe.
 */
final class ErrorList {

	/**
	 * Bounds the memory use for a large tree, which can have a million errors. Further
	 * errors are only counted, since a tree with this many is unusable as a whole.
	 */
	private static final int MAX_ERRORS = 1_000;

	/** Bounds the time for a tree with thousands of unknown names. */
	private static final int MAX_SUGGESTIONS = 100;

	private static final Comparator<SettingsError> BY_LOCATION = Comparator.comparingInt(SettingsError::line)
		.thenComparingInt(SettingsError::column)
		.thenComparing(SettingsError::path);

	/**
	 * A set, because an inherited value is checked again in every object that inherits
	 * it.
	 */
	private final Set<SettingsError> errors = new LinkedHashSet<>();

	private int omittedCount;

	private int unknownNameCount;

	void add(Location location, String reason) {
		if (this.errors.size() < MAX_ERRORS) {
			this.errors.add(new SettingsError(location.path(), location.line(), location.column(), reason));
		}
		else {
			this.omittedCount++;
		}
	}

	/**
	 * Adds an error about an unknown name, with the nearest known name as suggestion.
	 * @param location the location
	 * @param reason what is wrong
	 * @param name the unknown name
	 * @param known the known names
	 */
	void addUnknown(Location location, String reason, String name, Collection<String> known) {
		this.unknownNameCount++;
		boolean suggest = this.unknownNameCount <= MAX_SUGGESTIONS;
		add(location, suggest ? reason + NearestName.suggestion(name, known) : reason);
	}

	void throwIfAny() throws SettingsException {
		if (this.errors.isEmpty()) {
			return;
		}
		List<SettingsError> sorted = new ArrayList<>(this.errors);
		sorted.sort(BY_LOCATION);
		if (this.omittedCount > 0) {
			sorted.add(new SettingsError("", 0, 0, "and " + this.omittedCount + " more errors"));
		}
		throw new SettingsException(sorted);
	}

}
