package org.lovagevale.base;

/**
 * Validates the names used in settings. A valid name has 1 to 63 characters of a-z, 0-9
 * and hyphen, starting with a letter or digit.
 *
 * <p>
 * Thread-safe.
 */
public final class Names {

	private static final int MAX_LENGTH = 63;

	private Names() {
	}

	/**
	 * Returns whether a string is a valid name.
	 * @param text the string
	 * @return {@code true} if the string is a valid name
	 */
	public static boolean isValid(String text) {
		if (text.isEmpty() || text.length() > MAX_LENGTH || text.charAt(0) == '-') {
			return false;
		}
		// Names are checked for each message; a regular expression takes several times as
		// long.
		for (int i = 0; i < text.length(); i++) {
			char c = text.charAt(i);
			if ((c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-') {
				return false;
			}
		}
		return true;
	}

	static String requireValid(String kind, String name) {
		if (!isValid(name)) {
			throw new IllegalArgumentException("invalid " + kind + " name: \"" + name + "\"");
		}
		return name;
	}

}
