package org.lovagevale.settings;

/**
 * One error in a settings tree.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param path the member names from the root, separated by slashes, for example
 * "services/transfers/servers/transfers-01/port"
 * @param line the line, counted from 1; 0 if not known
 * @param column the column, counted from 1; 0 if not known
 * @param reason what is wrong and what is expected
 */
public record SettingsError(String path, int line, int column, String reason) {

	@Override
	public String toString() {
		return "line " + this.line + ":" + this.column + " " + this.path + ": " + this.reason;
	}

}
