package org.lovagevale.settings;

import java.util.HashMap;
import java.util.Map;

/**
 * Reports duplicates among names or addresses that must be unique in the tree.
 *
 * <p>
 * Not thread-safe.
 */
final class UniquenessCheck {

	private final Map<String, Location> firstLocations = new HashMap<>();

	private final String kind;

	private final ErrorList errors;

	/**
	 * Creates a check without names.
	 * @param kind what the names identify, for error messages
	 * @param errors the list that duplicates are added to
	 */
	UniquenessCheck(String kind, ErrorList errors) {
		this.kind = kind;
		this.errors = errors;
	}

	void add(String name, Location location) {
		Location earlier = this.firstLocations.putIfAbsent(name, location);
		if (earlier != null) {
			this.errors.add(location, "duplicate " + this.kind + " \"" + name + "\"; the first one is " + earlier);
		}
	}

}
