package org.lovagevale.settings;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * An object of a parsed settings tree.
 *
 * @param location its place
 * @param members its members in the order of the text
 */
record TreeObject(Location location, Map<String, TreeNode> members) implements TreeNode {

	@Nullable TreeNode member(String name) {
		return this.members.get(name);
	}

	@Override
	public String kind() {
		return "an object";
	}

}
