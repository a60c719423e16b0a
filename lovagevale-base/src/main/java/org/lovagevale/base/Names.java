package org.lovagevale.base;

import java.util.regex.Pattern;

/**
 * The rule for names in settings: 1 to 63 characters of a-z, 0-9 and hyphen, starting
 * with a letter or digit.
 *
 * <p>
 * Thread-safe.
 */
public final class Names {

	private static final Pattern VALID = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

	private Names() {
	}

	/**
	 * Tells whether a text is a valid name.
	 * @param text the text
	 * @return {@code true} if it is valid
	 */
	public static boolean isValid(String text) {
		return VALID.matcher(text).matches();
	}

	static String requireValid(String kind, String text) {
		if (!isValid(text)) {
			throw new IllegalArgumentException("invalid " + kind + " name: \"" + text + "\"");
		}
		return text;
	}

}
