package org.lovagevale.settings;

import com.fasterxml.jackson.core.JsonToken;

/**
 * A string, number, boolean or null of a parsed settings tree.
 *
 * @param position its position
 * @param token the token type of the value
 * @param text the value as text, without quotation marks
 */
record TreeScalar(TreePosition position, JsonToken token, String text) implements TreeNode {

	@Override
	public Location location() {
		return this.position.toLocation();
	}

	@Override
	public String kind() {
		return switch (this.token) {
			case VALUE_STRING -> "a string";
			case VALUE_NUMBER_INT -> "an integer";
			case VALUE_NUMBER_FLOAT -> "a fractional number";
			case VALUE_TRUE, VALUE_FALSE -> "a boolean";
			default -> "null";
		};
	}

}
