package org.lovagevale.settings;

import org.jspecify.annotations.Nullable;

/**
 * The position of a node in a tree that is being parsed.
 *
 * <p>
 * The path is only written out when it is needed: one long member name with many members
 * below would otherwise fill the memory with paths. Not thread-safe.
 */
final class TreePosition {

	/** Longer than every valid name and route. */
	private static final int MAX_NAME_LENGTH = 256;

	private final @Nullable TreePosition parent;

	private final String name;

	private final int line;

	private final int column;

	private @Nullable Location location;

	/**
	 * Creates a position.
	 * @param parent the position of the parent, or {@code null} for the root
	 * @param name the member name or the index in an array, empty for the root
	 * @param line the line, counted from 1; 0 if not known
	 * @param column the column, counted from 1; 0 if not known
	 */
	TreePosition(@Nullable TreePosition parent, String name, int line, int column) {
		this.parent = parent;
		this.name = name;
		this.line = line;
		this.column = column;
	}

	/**
	 * Replaces characters that would break an error over several lines of output.
	 * @param text the text
	 * @return the text in one line
	 */
	static String oneLine(String text) {
		// A regular expression took more time here than all other work of reading a tree.
		return text.chars().anyMatch(TreePosition::breaksLine) ? replaceBreaks(text) : text;
	}

	private static String replaceBreaks(String text) {
		StringBuilder line = new StringBuilder(text);
		for (int i = 0; i < line.length(); i++) {
			if (breaksLine(line.charAt(i))) {
				line.setCharAt(i, ' ');
			}
		}
		return line.toString();
	}

	private static boolean breaksLine(int character) {
		return Character.isISOControl(character) || character == '\u2028' || character == '\u2029';
	}

	Location toLocation() {
		Location known = this.location;
		if (known == null) {
			known = new Location(path(), this.line, this.column);
			this.location = known;
		}
		return known;
	}

	private String path() {
		String shown = oneLine(
				(this.name.length() > MAX_NAME_LENGTH) ? this.name.substring(0, MAX_NAME_LENGTH) + "..." : this.name);
		String above = (this.parent != null) ? this.parent.toLocation().path() : "";
		return above.isEmpty() ? shown : above + "/" + shown;
	}

}
