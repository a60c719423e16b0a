package org.lovagevale.node.http;

import java.util.Locale;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.ServerState;

/**
 * Parses the header in which a backend server reports its load.
 *
 * <p>
 * Thread-safe.
 */
final class LoadReportParser {

	/** Longest header that is parsed, in characters. */
	private static final int MAX_HEADER_LENGTH = 256;

	/** Longest boot identifier in characters; a longer one is truncated. */
	private static final int MAX_BOOT_LENGTH = 64;

	/** Largest accepted count; a header with a larger one is malformed. */
	private static final int MAX_COUNT = 1_000_000;

	private LoadReportParser() {
	}

	/**
	 * Parses a report such as {@code inflight=2; slots=3; state=warm; boot=ab12}.
	 * @param header the header value, or null if the header is absent
	 * @return the report, or null if the header is absent or malformed
	 */
	static @Nullable LoadReport parse(@Nullable String header) {
		if (header == null || header.length() > MAX_HEADER_LENGTH) {
			return null;
		}
		try {
			return parsePairs(header);
		}
		catch (IllegalArgumentException ex) {
			return null;
		}
	}

	private static LoadReport parsePairs(String header) {
		int inFlight = 0;
		int slots = 0;
		ServerState state = ServerState.UNKNOWN;
		String boot = "";
		for (String pair : header.split(";")) {
			String[] parts = pair.trim().split("=", 2);
			String value = (parts.length == 2) ? parts[1].trim() : "";
			switch (parts[0].trim()) {
				case "inflight" -> inFlight = parseCount(value);
				case "slots" -> slots = parseCount(value);
				case "state" -> state = ServerState.valueOf(value.toUpperCase(Locale.ROOT));
				case "boot" -> boot = value.substring(0, Math.min(value.length(), MAX_BOOT_LENGTH));
				default -> {
					// Ignores unknown fields, since newer servers may report more.
				}
			}
		}
		return new LoadReport(inFlight, slots, state, boot);
	}

	private static int parseCount(String text) {
		int count = Integer.parseInt(text);
		if (count < 0 || count > MAX_COUNT) {
			throw new IllegalArgumentException("count is out of range: " + count);
		}
		return count;
	}

}
