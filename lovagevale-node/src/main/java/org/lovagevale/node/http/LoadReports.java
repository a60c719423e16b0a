package org.lovagevale.node.http;

import java.util.Locale;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.ServerState;

/**
 * Parser of the header in which a backend server reports its load.
 *
 * <p>
 * Thread-safe.
 */
final class LoadReports {

	/** Longest header that is parsed, in characters. */
	private static final int MAX_LENGTH = 256;

	/** Longest boot identifier that is kept, in characters. */
	private static final int MAX_BOOT_LENGTH = 64;

	/** Largest number that is believed. */
	private static final int MAX_COUNT = 1_000_000;

	private LoadReports() {
	}

	/**
	 * Parses a report such as {@code inflight=2; slots=3; state=warm; boot=ab12}.
	 * @param header the value of the header, or null if there is none
	 * @return the report, or null if there is none or it is malformed
	 */
	static @Nullable LoadReport parse(@Nullable String header) {
		if (header == null || header.length() > MAX_LENGTH) {
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
					// Later servers may report more.
				}
			}
		}
		return new LoadReport(inFlight, slots, state, boot);
	}

	private static int parseCount(String text) {
		int count = Integer.parseInt(text);
		if (count < 0 || count > MAX_COUNT) {
			throw new IllegalArgumentException("count out of range: " + count);
		}
		return count;
	}

}
