package org.lovagevale.node.admin;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.lovagevale.settings.EffectiveValue;
import org.lovagevale.settings.Location;

/**
 * The response to {@code /effective}.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param version the settings version in force
 * @param branch the path of the branch
 * @param values the effective values with their origins
 * @param below the paths of the branches below it
 */
record EffectiveView(long version, String branch, List<Map<String, Object>> values, List<String> below) {

	static Map<String, Object> toMap(EffectiveValue value) {
		String origins = value.origins().stream().map(Location::toString).collect(Collectors.joining(", "));
		return Map.of("name", value.name(), "value", value.value(), "origin", origins);
	}

}
