package org.lovagevale.settings;

import java.util.List;

/**
 * An effective value of one branch of a settings tree, with its origins.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the member name
 * @param value a {@code Long}, {@code Boolean}, {@code String} or list of strings
 * @param origins the locations it comes from, outermost first; several if home regions
 * were intersected
 */
public record EffectiveValue(String name, Object value, List<Location> origins) {
}
