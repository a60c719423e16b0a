package org.lovagevale.settings;

import java.util.List;

/**
 * An array of a parsed settings tree.
 *
 * @param location its place
 * @param items its items in the order of the text
 */
record TreeArray(Location location, List<TreeNode> items) implements TreeNode {

	@Override
	public String kind() {
		return "an array";
	}

}
