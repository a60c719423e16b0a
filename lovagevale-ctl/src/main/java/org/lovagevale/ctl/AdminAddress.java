package org.lovagevale.ctl;

import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/**
 * The admin address of an entry process.
 *
 * @param host the host, without brackets around an IPv6 address
 * @param port the TCP port
 */
record AdminAddress(String host, int port) {

	private static final int MAX_PORT = 65_535;

	static AdminAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		String host = (colon > 0) ? text.substring(0, colon) : "";
		if (host.startsWith("[") && host.endsWith("]")) {
			host = host.substring(1, host.length() - 1);
		}
		else if (host.contains(":")) {
			host = "";
		}
		int port = toPort(text.substring(colon + 1));
		if (host.isEmpty() || port < 1) {
			throw new IllegalArgumentException("expected HOST:PORT, for example 127.0.0.1:9101");
		}
		return new AdminAddress(host, port);
	}

	// Returns 0 if the text is not a valid port.
	private static int toPort(String digits) {
		try {
			int port = Integer.parseInt(digits);
			return (port <= MAX_PORT) ? port : 0;
		}
		catch (NumberFormatException ex) {
			return 0;
		}
	}

	@Override
	public String toString() {
		return (this.host.contains(":") ? "[" + this.host + "]" : this.host) + ":" + this.port;
	}

	/**
	 * Converts a command line parameter.
	 */
	static final class Converter implements ITypeConverter<AdminAddress> {

		Converter() {
		}

		@Override
		public AdminAddress convert(String text) {
			try {
				return parse(text);
			}
			catch (IllegalArgumentException ex) {
				throw new TypeConversionException("\"" + text + "\": " + ex.getMessage());
			}
		}

	}

}
