package org.lovagevale.ctl;

import java.io.PrintWriter;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Writes results to standard output.
 *
 * <p>
 * Not thread-safe.
 */
final class Printer {

	static final ObjectMapper MAPPER = new ObjectMapper();

	private final PrintWriter out;

	Printer(PrintWriter out) {
		this.out = out;
	}

	/**
	 * Replaces line breaks and control characters by spaces, as they could split the line
	 * or change the state of a terminal.
	 * @param text the text
	 * @return the text on one line and without control characters
	 */
	static String toPrintable(String text) {
		return text.replaceAll("[\\p{Cntrl}\\u0080-\\u009f\\u2028\\u2029]", " ");
	}

	void printLine(String text) {
		this.out.println(toPrintable(text));
	}

	void printJson(JsonNode node) throws CtlException {
		try {
			this.out.println(MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(node));
		}
		catch (JsonProcessingException ex) {
			throw new CtlException(ExitCode.ENVIRONMENT, "cannot write JSON: " + ex.getOriginalMessage());
		}
	}

}
