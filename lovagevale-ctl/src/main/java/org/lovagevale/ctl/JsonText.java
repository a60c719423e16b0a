package org.lovagevale.ctl;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Formats any JSON value as lines and tables of text.
 *
 * <p>
 * Only times and regions are recognised by their member names. All other members are
 * formatted by their JSON type, so that those added by a newer process are shown as well.
 * Thread-safe.
 */
final class JsonText {

	/** Enough to compare values in a table; the JSON output has all digits. */
	private static final int DECIMAL_PLACES = 3;

	private static final String INDENT = "  ";

	private static final String NONE = "none";

	/** An empty list of regions means no restriction, so "none" would be misleading. */
	private static final String ALL_REGIONS = "all";

	private static final String REGIONS = "regions";

	private static final String COMPLETE_SINCE = "completeSince";

	private JsonText() {
	}

	/**
	 * Formats a value.
	 * @param node the value
	 * @return the lines
	 */
	static List<String> toLines(JsonNode node) {
		if (node.isObject()) {
			return objectLines(node);
		}
		return node.isArray() ? arrayLines(node) : List.of(formatCell("", node));
	}

	private static List<String> objectLines(JsonNode object) {
		TextTable scalars = new TextTable();
		List<String> sectionLines = new ArrayList<>();
		object.properties().forEach((member) -> {
			JsonNode value = member.getValue();
			if (value.isValueNode() || value.isEmpty()) {
				scalars.addRow(List.of(member.getKey(), formatCell(member.getKey(), value)));
			}
			else {
				sectionLines.add("");
				sectionLines.add(member.getKey() + ":");
				toLines(value).forEach((line) -> sectionLines.add(line.isEmpty() ? "" : INDENT + line));
			}
		});
		List<String> lines = new ArrayList<>(scalars.toLines());
		lines.addAll((lines.isEmpty() && !sectionLines.isEmpty()) ? sectionLines.subList(1, sectionLines.size())
				: sectionLines);
		return lines;
	}

	private static List<String> arrayLines(JsonNode array) {
		boolean isTable = !array.isEmpty();
		Set<String> columns = new LinkedHashSet<>();
		for (JsonNode item : array) {
			isTable &= item.isObject();
			item.fieldNames().forEachRemaining(columns::add);
		}
		if (!isTable) {
			List<String> lines = new ArrayList<>();
			array.forEach((item) -> lines.add(formatCell("", item)));
			return lines;
		}
		TextTable table = new TextTable();
		table.addRow(columns.stream().map((column) -> column.toUpperCase(Locale.ROOT)).toList());
		for (JsonNode item : array) {
			table.addRow(columns.stream().map((column) -> formatCell(column, item.path(column))).toList());
		}
		return table.toLines();
	}

	private static String formatCell(String name, JsonNode value) {
		if (value.isMissingNode() || value.isNull()) {
			return "-";
		}
		if (value.isObject()) {
			return value.isEmpty() ? NONE
					: value.properties()
						.stream()
						.map((member) -> member.getKey() + "=" + formatCell(member.getKey(), member.getValue()))
						.collect(Collectors.joining(" "));
		}
		if (value.isArray()) {
			List<String> items = new ArrayList<>();
			value.forEach((item) -> items.add(formatCell("", item)));
			return items.isEmpty() ? formatEmptyList(name) : String.join(", ", items);
		}
		if (value.isFloatingPointNumber()) {
			return formatDecimal(value);
		}
		return (value.isIntegralNumber() && isTime(name)) ? formatTime(value) : value.asText();
	}

	private static String formatEmptyList(String name) {
		return name.equals(REGIONS) ? ALL_REGIONS : NONE;
	}

	private static String formatDecimal(JsonNode value) {
		if (!Double.isFinite(value.asDouble())) {
			return value.asText();
		}
		BigDecimal rounded = BigDecimal.valueOf(value.asDouble()).setScale(DECIMAL_PLACES, RoundingMode.HALF_UP);
		return rounded.stripTrailingZeros().toPlainString();
	}

	private static boolean isTime(String name) {
		return name.equals(COMPLETE_SINCE) || name.toLowerCase(Locale.ROOT).endsWith("epochmillis");
	}

	private static String formatTime(JsonNode value) {
		try {
			return Instant.ofEpochMilli(value.asLong()).toString();
		}
		catch (DateTimeException ex) {
			return value.asText();
		}
	}

}
