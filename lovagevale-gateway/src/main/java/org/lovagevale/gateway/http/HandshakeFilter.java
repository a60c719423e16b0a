package org.lovagevale.gateway.http;

import java.net.Inet6Address;
import java.net.InetSocketAddress;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.unix.IntegerUnixChannelOption;
import org.lovagevale.base.LogLine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets the operating system ignore attempts to open further connections to a listening
 * port. Handshakes in progress are completed, and connections that wait to be accepted
 * stay open.
 *
 * <p>
 * Linux drops the packets to a listening socket whose time to live is below a minimum,
 * and checks neither handshakes in progress nor open connections for it. Senders start
 * with a time to live below {@link #MAX_TIME_TO_LIVE}, on usual systems 64. Thread-safe.
 */
final class HandshakeFilter {

	private static final int MAX_TIME_TO_LIVE = 255;

	private static final int IPPROTO_IP = 0;

	private static final int IPPROTO_IPV6 = 41;

	private static final ChannelOption<Integer> IP_MINTTL = new IntegerUnixChannelOption("IP_MINTTL", IPPROTO_IP, 21);

	private static final ChannelOption<Integer> IPV6_MINHOPCOUNT = new IntegerUnixChannelOption("IPV6_MINHOPCOUNT",
			IPPROTO_IPV6, 73);

	private static final Logger LOGGER = LoggerFactory.getLogger(HandshakeFilter.class);

	private HandshakeFilter() {
	}

	/**
	 * Ignores attempts to open further connections from now on.
	 * @param listening the listening channel
	 * @return {@code false} if the operating system or the transport cannot do this
	 */
	static boolean ignoreNewConnections(Channel listening) {
		if (!(listening instanceof EpollServerSocketChannel)) {
			return false;
		}
		try {
			listening.config().setOption(IP_MINTTL, MAX_TIME_TO_LIVE);
			if (((InetSocketAddress) listening.localAddress()).getAddress() instanceof Inet6Address) {
				listening.config().setOption(IPV6_MINHOPCOUNT, MAX_TIME_TO_LIVE);
			}
			return true;
		}
		catch (ChannelException ex) {
			LOGGER.warn("{}", LogLine.event("port.unfiltered").with("why", String.valueOf(ex)));
			return false;
		}
	}

}
