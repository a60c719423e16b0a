package org.lovagevale.settings;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Validates IP addresses without DNS lookups.
 *
 * <p>
 * Thread-safe.
 */
final class IpAddresses {

	private static final String OCTET = "(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";

	private static final Pattern IPV4 = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");

	/** {@link InetAddress} performs no DNS lookup for text that contains a colon. */
	private static final Pattern IPV6 = Pattern.compile("[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*");

	private IpAddresses() {
	}

	/**
	 * Converts an address to its canonical form, so that duplicates can be detected.
	 * @param text the address
	 * @return the canonical form, or empty if it is invalid, unspecified or a multicast
	 * address
	 */
	static Optional<String> toCanonical(String text) {
		if (!IPV4.matcher(text).matches() && !IPV6.matcher(text).matches()) {
			return Optional.empty();
		}
		try {
			InetAddress address = InetAddress.getByName(text);
			boolean unicast = !address.isAnyLocalAddress() && !address.isMulticastAddress();
			return unicast ? Optional.of(address.getHostAddress()) : Optional.empty();
		}
		catch (UnknownHostException ex) {
			return Optional.empty();
		}
	}

}
