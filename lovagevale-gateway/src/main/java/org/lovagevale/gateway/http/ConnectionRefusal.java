package org.lovagevale.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.unix.IntegerUnixChannelOption;
import org.lovagevale.base.LogLine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets the operating system refuse attempts to open further connections to a listening
 * port. Handshakes in progress are completed, and connections that wait to be accepted
 * stay open.
 *
 * <p>
 * The listening socket is bound to a network interface that does not exist, so Linux
 * finds no listener for further attempts and resets them, as for a closed port. A
 * connection has the interface that the listening socket had at the begin of its
 * handshake, so those of before stay unbound. Linux 5.7 or newer permits this without
 * privileges, once for each socket. Thread-safe.
 */
final class ConnectionRefusal {

	private static final int SOL_SOCKET = 1;

	/** Interfaces are numbered in ascending order, beginning with 1. */
	private static final int NO_INTERFACE = Integer.MAX_VALUE;

	/** The numbers are those of all architectures with the generic socket options. */
	private static final ChannelOption<Integer> SO_BINDTOIFINDEX = new IntegerUnixChannelOption("SO_BINDTOIFINDEX",
			SOL_SOCKET, 62);

	private static final Logger LOGGER = LoggerFactory.getLogger(ConnectionRefusal.class);

	private ConnectionRefusal() {
	}

	/**
	 * Refuses attempts to open further connections from now on.
	 * @param listening the listening channel
	 * @return {@code false} if the operating system or the transport cannot do this
	 */
	static boolean refuseNewConnections(Channel listening) {
		if (!(listening instanceof EpollServerSocketChannel)) {
			return unavailable("the transport is " + listening.getClass().getSimpleName());
		}
		try {
			listening.config().setOption(SO_BINDTOIFINDEX, NO_INTERFACE);
			Integer bound = listening.config().getOption(SO_BINDTOIFINDEX);
			return bound != null && bound == NO_INTERFACE || unavailable("the bound interface is " + bound);
		}
		catch (ChannelException ex) {
			return unavailable(String.valueOf(ex));
		}
	}

	private static boolean unavailable(String reason) {
		LOGGER.warn("{}", LogLine.event("port.unfiltered").with("why", reason));
		return false;
	}

}
