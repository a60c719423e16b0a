package org.lovagevale.settings;

/**
 * Writes an IP address and a port as one text.
 *
 * <p>
 * Thread-safe.
 */
final class Endpoints {

	private Endpoints() {
	}

	static String toText(String host, int port) {
		return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
	}

}
