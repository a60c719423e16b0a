package org.lovagevale.settings;

/**
 * An object of a checked tree with its effective values.
 *
 * @param location its place in the text
 * @param name its member name
 * @param values its effective values
 */
record Place(Location location, String name, Values values) {
}
