package org.lovagevale.gateway;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Addresses on loopback that no other process and no outgoing connection can take.
 *
 * <p>
 * A port chosen by the system can be taken again between its release and the next bind.
 * Each test process therefore uses loopback hosts of its own, derived from its process
 * id, and ports below the ephemeral range. Thread-safe.
 */
final class TestAddresses {

	/** Linux has process ids of at most 22 bits. */
	private static final int PROCESS_ID_BITS = 22;

	private static final int FIRST_PORT = 20_000;

	/** Ports from here on are ephemeral on Linux. */
	private static final int END_PORT = 32_768;

	private static final AtomicInteger NEXT_PORT = new AtomicInteger(FIRST_PORT);

	private TestAddresses() {
	}

	/**
	 * Returns a loopback host of this process.
	 * @param number the number of the host, from 1 to 3
	 * @return the host, never 127.0.0.1
	 */
	static String host(int number) {
		if (number < 1 || number > 3) {
			throw new IllegalArgumentException("host number " + number + " is not between 1 and 3");
		}
		long bits = ((long) number << PROCESS_ID_BITS) | ProcessHandle.current().pid();
		return "127." + (bits >> 16) + "." + ((bits >> 8) & 0xff) + "." + (bits & 0xff);
	}

	/**
	 * Returns an address that no earlier call returned.
	 * @param host a host of this process
	 * @return the address
	 */
	static HostPort next(String host) {
		int port = NEXT_PORT.getAndIncrement();
		if (port >= END_PORT) {
			throw new IllegalStateException("no port below " + END_PORT + " is left");
		}
		return new HostPort(host, port);
	}

}
