package org.lovagevale.settings;

/**
 * A node of a parsed settings tree with its location in the text.
 */
sealed interface TreeNode permits TreeObject, TreeArray, TreeScalar {

	/**
	 * Returns the location of the member name or, for an array item, of the value.
	 * @return the location
	 */
	Location location();

	/**
	 * Names the kind of value for error messages.
	 * @return the kind with its article, for example "an object"
	 */
	String kind();

}
