package org.lovagevale.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Converts between Java values and JSON.
 *
 * <p>
 * Thread-safe.
 */
public final class Json {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
		.build();

	private Json() {
	}

	/**
	 * Writes a value as JSON.
	 * @param value the value
	 * @return the JSON text
	 * @throws IllegalArgumentException if the value cannot be written
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("not a JSON value: " + value.getClass().getName(), ex);
		}
	}

	/**
	 * Parses a JSON text.
	 * @param text the JSON text; a blank text is read as an empty object
	 * @return the JSON tree
	 * @throws IllegalArgumentException if the text is not valid JSON
	 */
	public static JsonNode read(String text) {
		if (text.isBlank()) {
			return MAPPER.createObjectNode();
		}
		try {
			return MAPPER.readTree(text);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("not JSON: " + ex.getOriginalMessage(), ex);
		}
	}

	/**
	 * Parses a JSON text and converts it to a Java type.
	 * @param <T> the type
	 * @param text the JSON text
	 * @param type the type
	 * @return the value
	 * @throws IllegalArgumentException if the text is not valid JSON or does not fit the
	 * type
	 */
	public static <T> T read(String text, Class<T> type) {
		return convert(read(text), type);
	}

	/**
	 * Returns a copy of a value with some members replaced.
	 * @param <T> the type
	 * @param value the value
	 * @param type its type
	 * @param changes the members to replace, by name
	 * @return the changed value
	 * @throws IllegalArgumentException if the type has no such member or a value does not
	 * fit it
	 */
	public static <T> T replaceMembers(T value, Class<T> type, JsonNode changes) {
		ObjectNode tree = MAPPER.valueToTree(value);
		changes.fields().forEachRemaining((member) -> tree.set(member.getKey(), member.getValue()));
		return convert(tree, type);
	}

	/**
	 * Converts a value to a JSON tree.
	 * @param value the value
	 * @return the JSON tree
	 */
	public static JsonNode toTree(Object value) {
		return MAPPER.valueToTree(value);
	}

	private static <T> T convert(JsonNode tree, Class<T> type) {
		try {
			return MAPPER.treeToValue(tree, type);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException(ex.getOriginalMessage(), ex);
		}
	}

}
