package org.lovagevale.settings;

import org.jspecify.annotations.Nullable;

/**
 * The position of a node in a tree that is being parsed.
 *
 * <p>
 * The path is only written out when it is needed: one long member name with many members
 * below would otherwise fill the memory with paths. Immutable and thread-safe.
 *
 * @param parent the position of the parent, or {@code null} for the root
 * @param name the member name or the index in an array, empty for the root
 * @param line the line, counted from 1; 0 if not known
 * @param column the column, counted from 1; 0 if not known
 */
record TreePosition(@Nullable TreePosition parent, String name, int line, int column) {

	/** Longer than every valid name and route. */
	private static final int MAX_NAME_LENGTH = 256;

	/**
	 * Replaces characters that would break an error over several lines of output.
	 * @param text the text
	 * @return the text in one line
	 */
	static String oneLine(String text) {
		return text.replaceAll("[\\p{Cntrl}\\s\\u0080-\\u009f\\u2028\\u2029]", " ");
	}

	Location toLocation() {
		return new Location(path(), this.line, this.column);
	}

	private String path() {
		String shown = oneLine(
				(this.name.length() > MAX_NAME_LENGTH) ? this.name.substring(0, MAX_NAME_LENGTH) + "..." : this.name);
		String above = (this.parent != null) ? this.parent.path() : "";
		return above.isEmpty() ? shown : above + "/" + shown;
	}

}
