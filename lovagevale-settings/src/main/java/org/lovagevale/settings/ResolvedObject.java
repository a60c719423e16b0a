package org.lovagevale.settings;

/**
 * An object of a settings tree with its effective values.
 *
 * @param location its location in the text
 * @param name its member name
 * @param values its effective values
 */
record ResolvedObject(Location location, String name, Values values) {
}
