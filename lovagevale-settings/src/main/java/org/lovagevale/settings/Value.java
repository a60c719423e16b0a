package org.lovagevale.settings;

import java.util.List;

/**
 * A value and the places that it comes from.
 *
 * @param value a {@code Long}, {@code Boolean}, {@code String}, {@code Priority} or set
 * of regions
 * @param origins the places, outermost first; more than one if values were combined
 */
record Value(Object value, List<Location> origins) {
}
