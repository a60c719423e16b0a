package org.lovagevale.ctl;

import java.util.ArrayList;
import java.util.List;

/**
 * Formats rows of cells as a table with aligned columns.
 *
 * <p>
 * Not thread-safe.
 */
final class TextTable {

	private static final String COLUMN_GAP = "  ";

	private final List<List<String>> rows = new ArrayList<>();

	TextTable addRow(List<String> row) {
		this.rows.add(row.stream().map(Printer::toPrintable).toList());
		return this;
	}

	/**
	 * Formats the rows.
	 * @return one line for each row, without trailing spaces
	 */
	List<String> toLines() {
		List<Integer> widths = widths();
		return this.rows.stream().map((row) -> toLine(row, widths)).toList();
	}

	private List<Integer> widths() {
		List<Integer> widths = new ArrayList<>();
		for (List<String> row : this.rows) {
			for (int i = 0; i < row.size(); i++) {
				int length = row.get(i).length();
				if (i == widths.size()) {
					widths.add(length);
				}
				else {
					widths.set(i, Math.max(widths.get(i), length));
				}
			}
		}
		return widths;
	}

	private static String toLine(List<String> row, List<Integer> widths) {
		StringBuilder line = new StringBuilder();
		for (int i = 0; i < row.size(); i++) {
			line.append(row.get(i)).append(" ".repeat(widths.get(i) - row.get(i).length())).append(COLUMN_GAP);
		}
		return line.toString().stripTrailing();
	}

}
