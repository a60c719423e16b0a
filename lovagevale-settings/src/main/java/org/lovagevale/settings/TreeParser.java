package org.lovagevale.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;

/**
 * Parses JSON with comments into a tree whose nodes know their line and column.
 *
 * <p>
 * Jackson's own tree drops locations and stops at the first duplicate member, so this
 * class reads its tokens instead. Thread-safe.
 */
final class TreeParser {

	/** The largest value that the settings service stores. */
	static final int MAX_BYTES = 1_048_576;

	/** Far above the deepest place that the format has. */
	static final int MAX_DEPTH = 32;

	private static final JsonFactory FACTORY = JsonFactory.builder()
		.enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
		.build();

	/**
	 * Parses a tree.
	 * @param content the text
	 * @param errors receives duplicate members
	 * @return the root object
	 * @throws SettingsException if the text is not one JSON object within the limits
	 */
	TreeObject parse(String content, ErrorList errors) throws SettingsException {
		checkSize(content);
		try (JsonParser parser = FACTORY.createParser(content)) {
			return parseRoot(parser, errors);
		}
		catch (JsonProcessingException ex) {
			JsonLocation at = ex.getLocation();
			int line = (at != null) ? at.getLineNr() : 0;
			int column = (at != null) ? at.getColumnNr() : 0;
			throw failure(new Location("", line, column), "not valid JSON: " + oneLine(ex.getOriginalMessage()));
		}
		catch (IOException ex) {
			throw failure(new Location("", 0, 0), "cannot be read: " + ex.getMessage());
		}
	}

	private static void checkSize(String content) throws SettingsException {
		int bytes = content.getBytes(StandardCharsets.UTF_8).length;
		if (bytes > MAX_BYTES) {
			throw failure(new Location("", 1, 1),
					"the tree has " + bytes + " bytes, but at most " + MAX_BYTES + " are allowed");
		}
	}

	private TreeObject parseRoot(JsonParser parser, ErrorList errors) throws IOException, SettingsException {
		JsonToken first = parser.nextToken();
		Location start = (first != null) ? locationOf(parser, "") : new Location("", 1, 1);
		if (first != JsonToken.START_OBJECT) {
			throw failure(start, "the tree must be one JSON object");
		}
		TreeObject root = parseObject(parser, start, 1, errors);
		if (parser.nextToken() != null) {
			throw failure(locationOf(parser, ""), "nothing may follow the closing brace of the tree");
		}
		return root;
	}

	private TreeNode parseValue(JsonParser parser, Location location, int depth, ErrorList errors)
			throws IOException, SettingsException {
		return switch (parser.currentToken()) {
			case START_OBJECT -> parseObject(parser, location, depth + 1, errors);
			case START_ARRAY -> parseArray(parser, location, depth + 1, errors);
			default -> new TreeScalar(location, parser.currentToken(), parser.getText());
		};
	}

	private TreeObject parseObject(JsonParser parser, Location location, int depth, ErrorList errors)
			throws IOException, SettingsException {
		checkDepth(location, depth);
		Map<String, TreeNode> members = new LinkedHashMap<>();
		while (parser.nextToken() != JsonToken.END_OBJECT) {
			String name = parser.currentName();
			Location place = locationOf(parser, join(location.path(), name));
			parser.nextToken();
			TreeNode value = parseValue(parser, place, depth, errors);
			TreeNode earlier = members.putIfAbsent(name, value);
			if (earlier != null) {
				errors.add(place, "duplicate member; the first one is in line " + earlier.location().line());
			}
		}
		return new TreeObject(location, members);
	}

	private TreeArray parseArray(JsonParser parser, Location location, int depth, ErrorList errors)
			throws IOException, SettingsException {
		checkDepth(location, depth);
		List<TreeNode> items = new ArrayList<>();
		while (parser.nextToken() != JsonToken.END_ARRAY) {
			Location place = locationOf(parser, join(location.path(), Integer.toString(items.size())));
			items.add(parseValue(parser, place, depth, errors));
		}
		return new TreeArray(location, items);
	}

	private static void checkDepth(Location location, int depth) throws SettingsException {
		if (depth > MAX_DEPTH) {
			throw failure(location, "nested more than " + MAX_DEPTH + " levels deep");
		}
	}

	private static Location locationOf(JsonParser parser, String path) {
		JsonLocation at = parser.currentTokenLocation();
		return new Location(path, at.getLineNr(), at.getColumnNr());
	}

	private static String join(String parent, String name) {
		String printable = oneLine(name);
		return parent.isEmpty() ? printable : parent + "/" + printable;
	}

	// Control characters would break an error over several lines of output.
	private static String oneLine(String text) {
		return text.replaceAll("[\\p{Cntrl}\\s]", " ");
	}

	private static SettingsException failure(Location location, String reason) {
		return new SettingsException(
				List.of(new SettingsError(location.path(), location.line(), location.column(), reason)));
	}

}
