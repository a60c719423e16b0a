package org.lovagevale.settings;

/**
 * A place in the text of a settings tree.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param path the member names from the root, separated by slashes, empty for the root
 * @param line the line, counted from 1; 0 for a built-in default
 * @param column the column, counted from 1; 0 for a built-in default
 */
public record Location(String path, int line, int column) {

	/** The origin of values that the tree does not give. */
	public static final Location BUILT_IN = new Location("built-in default", 0, 0);

	/**
	 * Tells whether a value with this origin was not given by the tree.
	 * @return {@code true} for a built-in default
	 */
	public boolean isBuiltIn() {
		return this.line == 0;
	}

	@Override
	public String toString() {
		return isBuiltIn() ? this.path : this.path + " line " + this.line;
	}

}
