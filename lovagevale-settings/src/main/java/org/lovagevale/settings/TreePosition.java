package org.lovagevale.settings;

import org.jspecify.annotations.Nullable;

/**
 * The position of a node in a tree that is being parsed.
 *
 * <p>
 * The path is built only when it is needed; otherwise, the paths of many members below a
 * long member name could exhaust the heap. Not thread-safe.
 */
final class TreePosition {

	/** Longer names, which exceed any valid name or route, are truncated in paths. */
	private static final int MAX_SHOWN_NAME_CHARS = 256;

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
	 * Replaces line breaks and control characters by spaces, so that an error message
	 * stays on one line.
	 * @param text the text
	 * @return the text on one line
	 */
	static String toOneLine(String text) {
		// A regular expression would take longer than all other steps of reading a tree.
		return text.chars().anyMatch(TreePosition::isLineBreakOrControl) ? replaceLineBreaksAndControls(text) : text;
	}

	private static String replaceLineBreaksAndControls(String text) {
		StringBuilder line = new StringBuilder(text);
		for (int i = 0; i < line.length(); i++) {
			if (isLineBreakOrControl(line.charAt(i))) {
				line.setCharAt(i, ' ');
			}
		}
		return line.toString();
	}

	private static boolean isLineBreakOrControl(int character) {
		return Character.isISOControl(character) || character == '\u2028' || character == '\u2029';
	}

	Location toLocation() {
		Location cached = this.location;
		if (cached == null) {
			cached = new Location(path(), this.line, this.column);
			this.location = cached;
		}
		return cached;
	}

	private String path() {
		String shownName = toOneLine((this.name.length() > MAX_SHOWN_NAME_CHARS)
				? this.name.substring(0, MAX_SHOWN_NAME_CHARS) + "..." : this.name);
		String parentPath = (this.parent != null) ? this.parent.toLocation().path() : "";
		return parentPath.isEmpty() ? shownName : parentPath + "/" + shownName;
	}

}
