package org.lovagevale.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import org.jspecify.annotations.Nullable;

/**
 * Parses JSON with comments into a tree of nodes with their line and column.
 *
 * <p>
 * Jackson's tree model drops locations and stops at the first duplicate member, so this
 * class reads the tokens of Jackson's parser instead. Thread-safe.
 */
final class TreeParser {

	/** The largest value that the settings service can store, in bytes. */
	static final int MAX_BYTES = 1_048_576;

	/** Bounds the recursion; well above the depth of any valid tree. */
	static final int MAX_DEPTH = 32;

	/** The part of a Jackson message that states where an unclosed value starts. */
	private static final Pattern START_MARKER = Pattern
		.compile("\\(start marker at .*line: (\\d+), column: \\d+\\]\\)");

	/** The part of a Jackson message that names a parser option to enable. */
	private static final Pattern OPTION_HINT = Pattern.compile(": enable `[^`]*` to allow");

	private static final JsonFactory FACTORY = JsonFactory.builder()
		.enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
		.build();

	/**
	 * Parses a tree.
	 * @param content the text
	 * @param errors the list that duplicate members are added to
	 * @return the root object
	 * @throws SettingsException if the text is not a single JSON object within the size
	 * and depth limits
	 */
	TreeObject parse(String content, ErrorList errors) throws SettingsException {
		checkSize(content);
		try (JsonParser parser = FACTORY.createParser(content)) {
			return parseRoot(parser, errors);
		}
		catch (JsonProcessingException ex) {
			JsonLocation location = ex.getLocation();
			int line = (location != null) ? location.getLineNr() : 0;
			int column = (location != null) ? location.getColumnNr() : 0;
			throw failure(new TreePosition(null, "", line, column), "not valid JSON: " + toReason(ex));
		}
		catch (IOException ex) {
			throw failure(new TreePosition(null, "", 0, 0), "cannot be read: " + ex.getMessage());
		}
	}

	/**
	 * Converts a syntax error to a message that does not mention parser options.
	 * @param ex the syntax error
	 * @return the message, in one line
	 */
	private static String toReason(JsonProcessingException ex) {
		String message = START_MARKER.matcher(ex.getOriginalMessage()).replaceAll("that starts in line $1");
		return TreePosition.toOneLine(OPTION_HINT.matcher(message).replaceAll(""));
	}

	private static void checkSize(String content) throws SettingsException {
		int bytes = content.getBytes(StandardCharsets.UTF_8).length;
		if (bytes > MAX_BYTES) {
			throw failure(new TreePosition(null, "", 1, 1),
					"the tree has " + bytes + " bytes, but at most " + MAX_BYTES + " are allowed");
		}
	}

	private TreeObject parseRoot(JsonParser parser, ErrorList errors) throws IOException, SettingsException {
		JsonToken first = parser.nextToken();
		TreePosition start = (first != null) ? positionOf(parser, null, "") : new TreePosition(null, "", 1, 1);
		if (first != JsonToken.START_OBJECT) {
			throw failure(start, "the tree must be one JSON object");
		}
		TreeObject root = parseObject(parser, start, 1, errors);
		if (parser.nextToken() != null) {
			throw failure(positionOf(parser, null, ""), "nothing may follow the closing brace of the tree");
		}
		return root;
	}

	private TreeNode parseValue(JsonParser parser, TreePosition position, int depth, ErrorList errors)
			throws IOException, SettingsException {
		return switch (parser.currentToken()) {
			case START_OBJECT -> parseObject(parser, position, depth + 1, errors);
			case START_ARRAY -> parseArray(parser, position, depth + 1, errors);
			default -> new TreeScalar(position, parser.currentToken(), parser.getText());
		};
	}

	private TreeObject parseObject(JsonParser parser, TreePosition position, int depth, ErrorList errors)
			throws IOException, SettingsException {
		checkDepth(position, depth);
		Map<String, TreeNode> members = new LinkedHashMap<>();
		while (parser.nextToken() != JsonToken.END_OBJECT) {
			String name = parser.currentName();
			TreePosition memberPosition = positionOf(parser, position, name);
			parser.nextToken();
			TreeNode value = parseValue(parser, memberPosition, depth, errors);
			TreeNode earlier = members.putIfAbsent(name, value);
			if (earlier != null) {
				errors.add(memberPosition.toLocation(),
						"duplicate member; the first one is in line " + earlier.location().line());
			}
		}
		return new TreeObject(position, members);
	}

	private TreeArray parseArray(JsonParser parser, TreePosition position, int depth, ErrorList errors)
			throws IOException, SettingsException {
		checkDepth(position, depth);
		List<TreeNode> items = new ArrayList<>();
		while (parser.nextToken() != JsonToken.END_ARRAY) {
			TreePosition itemPosition = positionOf(parser, position, Integer.toString(items.size()));
			items.add(parseValue(parser, itemPosition, depth, errors));
		}
		return new TreeArray(position, items);
	}

	private static void checkDepth(TreePosition position, int depth) throws SettingsException {
		if (depth > MAX_DEPTH) {
			throw failure(position, "nested more than " + MAX_DEPTH + " levels deep");
		}
	}

	private static TreePosition positionOf(JsonParser parser, @Nullable TreePosition parent, String name) {
		JsonLocation location = parser.currentTokenLocation();
		return new TreePosition(parent, name, location.getLineNr(), location.getColumnNr());
	}

	private static SettingsException failure(TreePosition position, String reason) {
		Location location = position.toLocation();
		return new SettingsException(
				List.of(new SettingsError(location.path(), location.line(), location.column(), reason)));
	}

}
