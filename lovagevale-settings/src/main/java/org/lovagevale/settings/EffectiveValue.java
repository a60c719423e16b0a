package org.lovagevale.settings;

import java.util.List;

/**
 * A value in force in one branch of a settings tree, with its origin.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the member name
 * @param value a {@code Long}, {@code Boolean}, {@code String} or list of strings
 * @param origins the places that it comes from, outermost first; more than one where home
 * regions were intersected
 */
public record EffectiveValue(String name, Object value, List<Location> origins) {
}
