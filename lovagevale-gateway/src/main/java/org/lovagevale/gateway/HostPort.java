package org.lovagevale.gateway;

/**
 * An IP address and a TCP port.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param host the IP address
 * @param port the TCP port, 0 to 65535
 */
public record HostPort(String host, int port) {

	private static final int MAX_PORT = 65_535;

	/**
	 * Creates an address.
	 * @throws IllegalArgumentException if the port is out of range
	 */
	public HostPort {
		if (port < 0 || port > MAX_PORT) {
			throw new IllegalArgumentException("port " + port + " is not between 0 and " + MAX_PORT);
		}
	}

	/**
	 * Parses an address.
	 * @param text an address and a port, such as {@code 10.1.0.18:8381}
	 * @return the address
	 * @throws IllegalArgumentException if the text is not in this format
	 */
	public static HostPort parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon <= 0) {
			throw new IllegalArgumentException("\"" + text + "\" is not an address with a port");
		}
		try {
			return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("\"" + text + "\" has no valid port", ex);
		}
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
