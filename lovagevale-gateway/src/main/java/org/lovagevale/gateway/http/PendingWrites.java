package org.lovagevale.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * What was written to a connection and not yet taken by the operating system.
 *
 * <p>
 * Confined to the event loop of the connection.
 */
final class PendingWrites {

	private PendingWrites() {
	}

	/**
	 * Returns the size of what is pending, with its objects.
	 * @param channel the channel of the connection
	 * @return the size in bytes, 0 if the connection is closed
	 */
	static long bytesOf(Channel channel) {
		ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
		return (pending != null) ? pending.totalPendingWriteBytes() : 0;
	}

}
