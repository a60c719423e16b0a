package org.lovagevale.settings;

/**
 * A location in the text of a settings tree.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param path the member names from the root, separated by slashes, empty for the root
 * @param line the line, counted from 1; 0 for a built-in default or an object that the
 * tree does not have
 * @param column the column, counted from 1; 0 if the line is 0
 */
public record Location(String path, int line, int column) {

	/** The origin of default values, which the tree does not set. */
	public static final Location BUILT_IN = new Location("built-in default", 0, 0);

	/**
	 * Returns whether this is outside the text, as for a built-in default.
	 * @return {@code true} if the tree does not set the value
	 */
	public boolean isBuiltIn() {
		return this.line == 0;
	}

	@Override
	public String toString() {
		return isBuiltIn() ? this.path : this.path + " line " + this.line;
	}

}
