package org.lovagevale.settings;

import java.util.Set;
import java.util.stream.Collectors;

/**
 * Formats a set of regions for error messages.
 *
 * <p>
 * Thread-safe.
 */
final class RegionText {

	/** A longer list would obscure the rest of the message. */
	private static final int MAX_REGIONS = 8;

	private RegionText() {
	}

	static String of(Set<?> regions) {
		String end = (regions.size() > MAX_REGIONS) ? ", ... (" + regions.size() + " in all)]" : "]";
		return regions.stream()
			.map(Object::toString)
			.sorted()
			.limit(MAX_REGIONS)
			.collect(Collectors.joining(", ", "[", end));
	}

}
