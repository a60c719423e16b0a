package org.lovagevale.settings;

import java.util.List;

/**
 * An array of a parsed settings tree.
 *
 * @param position its position
 * @param items its items in document order
 */
record TreeArray(TreePosition position, List<TreeNode> items) implements TreeNode {

	@Override
	public Location location() {
		return this.position.toLocation();
	}

	@Override
	public String kind() {
		return "an array";
	}

}
