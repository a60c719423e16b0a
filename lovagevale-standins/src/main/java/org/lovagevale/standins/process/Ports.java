package org.lovagevale.standins.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Collection;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

/**
 * Utilities for TCP ports on the loopback address.
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
	 * Checks that no process listens on any of the ports. Such a process would respond in
	 * place of the one to be started.
	 * @param ports the ports
	 * @throws IOException if a port is in use
	 */
	public static void checkFree(Collection<Integer> ports) throws IOException {
		for (int port : ports) {
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				socket.setReuseAddress(true);
			}
			catch (IOException ex) {
				throw new IOException("port " + port + " is in use; end the process that uses it or wait", ex);
			}
		}
	}

	/**
	 * Adds a number to every port in a settings tree.
	 * @param tree the tree
	 * @param shift the number to add
	 * @return the tree with the shifted ports
	 */
	public static String shift(String tree, int shift) {
		return PORT_MEMBER.matcher(tree).replaceAll((match) -> shifted(match, shift));
	}

	private static String shifted(MatchResult match, int shift) {
		return match.group(1) + (Integer.parseInt(match.group(2)) + shift);
	}

}
