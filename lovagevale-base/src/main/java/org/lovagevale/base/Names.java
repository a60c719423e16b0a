package org.lovagevale.base;

import java.util.regex.Pattern;

/**
 * Validates the names used in settings. A valid name has 1 to 63 characters of a-z, 0-9
 * and hyphen, starting with a letter or digit.
 *
 * <p>
 * Thread-safe.
 */
public final class Names {

	private static final Pattern VALID_NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

	private Names() {
	}

	/**
	 * Returns whether a string is a valid name.
	 * @param text the string
	 * @return {@code true} if the string is a valid name
	 */
	public static boolean isValid(String text) {
		return VALID_NAME.matcher(text).matches();
	}

	static String requireValid(String kind, String name) {
		if (!isValid(name)) {
			throw new IllegalArgumentException("invalid " + kind + " name: \"" + name + "\"");
		}
		return name;
	}

}
