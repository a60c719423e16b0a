package org.lovagevale.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;

/**
 * What was written to a connection and not yet taken by the operating system.
 *
 * <p>
 * Confined to the event loop of the connection.
 */
final class PendingWrites {

	/** Result of {@link #sentAgoMs} if the operating system does not tell. */
	static final long UNKNOWN = Long.MAX_VALUE;

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

	/**
	 * Returns how much of the first pending part was taken. A part leaves
	 * {@link #bytesOf} only when it was taken completely.
	 * @param channel the channel of the connection
	 * @return the size in bytes
	 */
	static long progressOf(Channel channel) {
		ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
		return (pending != null) ? pending.currentProgress() : 0;
	}

	/**
	 * Returns when the operating system last sent data. It takes further data only after
	 * a large part of its buffer was sent, so a caller that reads slowly takes nothing
	 * from this process for seconds.
	 * @param channel the channel of the connection
	 * @return the time since then in milliseconds, or {@link #UNKNOWN}
	 */
	static long sentAgoMs(Channel channel) {
		if (!(channel instanceof EpollSocketChannel socket) || !socket.isOpen()) {
			return UNKNOWN;
		}
		try {
			EpollTcpInfo info = socket.tcpInfo();
			// A system that does not record these times reports 0 for all of them.
			boolean recorded = info.lastDataRecv() > 0 || info.lastDataSent() > 0 || info.lastAckRecv() > 0;
			return recorded ? info.lastDataSent() : UNKNOWN;
		}
		catch (ChannelException ex) {
			return UNKNOWN;
		}
	}

}
