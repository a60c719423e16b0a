package org.lovagevale.standins.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Collection;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

/**
 * Utilities for the TCP ports of processes on the loopback address.
 *
 * <p>
 * Thread-safe.
 */
public final class Ports {

	private static final Pattern PORT_MEMBER = Pattern
		.compile("(\"(?:port|callerPort|peerPort|adminPort)\"\\s*:\\s*)(\\d+)");

	private Ports() {
	}

	/**
	 * Checks that no process listens on any of the ports. If one did, it would receive
	 * the requests meant for the process to be started.
	 * @param ports the ports
	 * @throws IOException if a port is in use
	 */
	public static void checkFree(Collection<Integer> ports) throws IOException {
		for (int port : ports) {
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				socket.setReuseAddress(true);
			}
			catch (IOException ex) {
				throw new IOException(
						"port " + port + " is in use; stop the process that uses it or wait until it exits", ex);
			}
		}
	}

	/**
	 * Adds an offset to every port number in a settings tree.
	 * @param tree the settings tree
	 * @param shift the offset
	 * @return the settings tree with the shifted ports
	 */
	public static String shift(String tree, int shift) {
		return PORT_MEMBER.matcher(tree).replaceAll((match) -> shiftPort(match, shift));
	}

	private static String shiftPort(MatchResult match, int shift) {
		return match.group(1) + (Integer.parseInt(match.group(2)) + shift);
	}

}
