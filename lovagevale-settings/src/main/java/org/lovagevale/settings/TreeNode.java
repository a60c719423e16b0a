package org.lovagevale.settings;

/**
 * A node of a parsed settings tree that knows its place in the text.
 */
sealed interface TreeNode permits TreeObject, TreeArray, TreeScalar {

	/**
	 * Returns the place of the member name, or of the value itself in an array.
	 * @return the place
	 */
	Location location();

	/**
	 * Names the kind of value for error messages.
	 * @return the kind with its article
	 */
	String kind();

}
