package org.lovagevale.settings;

import java.util.List;

/**
 * A value and its origins.
 *
 * @param value a {@code Long}, {@code Boolean}, {@code String}, {@code Priority} or set
 * of regions
 * @param origins the locations it comes from, outermost first; several if home regions
 * were intersected
 */
record Value(Object value, List<Location> origins) {
}
