package org.lovagevale.settings;

import java.util.Collection;
import java.util.Comparator;

/**
 * Finds the known name that is most similar to an unknown name.
 *
 * <p>
 * Thread-safe.
 */
final class NearestName {

	/** Longer names are not compared, which bounds the time for malicious input. */
	private static final int MAX_NAME_CHARS = 64;

	/** Further known names are not compared, which also bounds the time. */
	private static final int MAX_CANDIDATES = 2_000;

	private NearestName() {
	}

	/**
	 * Returns a suggestion to append to an error message.
	 * @param name the unknown name
	 * @param known the known names
	 * @return a question with the nearest name, or an empty string if no name is similar
	 */
	static String suggestion(String name, Collection<String> known) {
		if (name.length() > MAX_NAME_CHARS) {
			return "";
		}
		int maxDistance = Math.max(2, name.length() / 3);
		return known.stream()
			.limit(MAX_CANDIDATES)
			.filter((candidate) -> Math.abs(candidate.length() - name.length()) <= maxDistance)
			.min(Comparator.comparingInt((candidate) -> distance(name, candidate)))
			.filter((candidate) -> distance(name, candidate) <= maxDistance)
			.map((candidate) -> "; did you mean \"" + candidate + "\"?")
			.orElse("");
	}

	// The case-insensitive Levenshtein distance, computed row by row.
	private static int distance(String left, String right) {
		int[] row = new int[right.length() + 1];
		for (int j = 0; j < row.length; j++) {
			row[j] = j;
		}
		for (int i = 1; i <= left.length(); i++) {
			int diagonal = row[0];
			row[0] = i;
			for (int j = 1; j < row.length; j++) {
				int above = row[j];
				int substitution = diagonal + (equalsIgnoreCase(left.charAt(i - 1), right.charAt(j - 1)) ? 0 : 1);
				row[j] = Math.min(substitution, 1 + Math.min(above, row[j - 1]));
				diagonal = above;
			}
		}
		return row[row.length - 1];
	}

	private static boolean equalsIgnoreCase(char left, char right) {
		return Character.toLowerCase(left) == Character.toLowerCase(right);
	}

}
