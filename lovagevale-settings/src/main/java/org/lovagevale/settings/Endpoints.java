package org.lovagevale.settings;

/**
 * Formats an IP address and a port as one string.
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
