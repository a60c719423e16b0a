package org.lovagevale.settings;

import java.util.HashMap;
import java.util.Map;

/**
 * Reports the second use of a name or address that must be unique in the tree.
 *
 * <p>
 * Not thread-safe.
 */
final class UniqueNames {

	private final Map<String, Location> first = new HashMap<>();

	private final String kind;

	private final ErrorList errors;

	/**
	 * Creates an empty set of names.
	 * @param kind what the names stand for, for error messages
	 * @param errors receives duplicates
	 */
	UniqueNames(String kind, ErrorList errors) {
		this.kind = kind;
		this.errors = errors;
	}

	void add(String name, Location location) {
		Location earlier = this.first.putIfAbsent(name, location);
		if (earlier != null) {
			this.errors.add(location, "duplicate " + this.kind + " \"" + name + "\"; the first one is " + earlier);
		}
	}

}
