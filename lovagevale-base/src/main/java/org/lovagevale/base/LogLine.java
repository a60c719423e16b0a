package org.lovagevale.base;

import java.util.Map;

/**
 * Builder of a log line of key=value pairs; the first pair is the name of an event.
 *
 * <p>
 * A value is quoted if it is empty or contains a space, a quotation mark, an equals sign,
 * a backslash or a control character below U+0020. In a quoted value, quotation marks and
 * backslashes are escaped by a backslash, a line feed is written as {@code \n} and other
 * control characters below U+0020 as a question mark, so that a value cannot add pairs or
 * lines. Not thread-safe.
 */
public final class LogLine {

	private static final char FIRST_PRINTABLE_CHAR = ' ';

	private final StringBuilder text;

	private LogLine(String event) {
		this.text = new StringBuilder("event=").append(event);
	}

	/**
	 * Creates a line with the name of an event.
	 * @param event the name of the event, for example "settings.adopted"
	 * @return the line
	 */
	public static LogLine event(String event) {
		return new LogLine(event);
	}

	/**
	 * Appends a key and its value.
	 * @param key the key
	 * @param value the value, converted with {@code String.valueOf}
	 * @return this line
	 */
	public LogLine with(String key, Object value) {
		this.text.append(' ').append(key).append('=');
		appendValue(String.valueOf(value));
		return this;
	}

	/**
	 * Appends the pairs of a map in its iteration order.
	 * @param pairs the pairs
	 * @return this line
	 */
	public LogLine withAll(Map<String, String> pairs) {
		pairs.forEach(this::with);
		return this;
	}

	private void appendValue(String value) {
		if (!value.isEmpty() && value.chars().noneMatch(LogLine::needsQuotes)) {
			this.text.append(value);
			return;
		}
		this.text.append('"');
		value.chars().forEach(this::appendEscaped);
		this.text.append('"');
	}

	private static boolean needsQuotes(int c) {
		return c <= FIRST_PRINTABLE_CHAR || c == '"' || c == '=' || c == '\\';
	}

	private void appendEscaped(int c) {
		if (c == '"' || c == '\\') {
			this.text.append('\\').append((char) c);
		}
		else if (c == '\n') {
			this.text.append("\\n");
		}
		else {
			this.text.append((c < FIRST_PRINTABLE_CHAR) ? '?' : (char) c);
		}
	}

	@Override
	public String toString() {
		return this.text.toString();
	}

}
