package org.lovagevale.settings;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * An object of a parsed settings tree.
 *
 * @param position its position
 * @param members its members in document order
 */
record TreeObject(TreePosition position, Map<String, TreeNode> members) implements TreeNode {

	@Nullable TreeNode member(String name) {
		return this.members.get(name);
	}

	@Override
	public Location location() {
		return this.position.toLocation();
	}

	@Override
	public String kind() {
		return "an object";
	}

}
