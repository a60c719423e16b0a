package org.lovagevale.gateway;

import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

/**
 * Lets one write to a connection of an entry process fail, as the allocation of a buffer
 * does when the memory of the process is used up.
 *
 * <p>
 * Thread-safe.
 */
final class FailingWrites {

	private static final int TIMEOUT_S = 5;

	private FailingWrites() {
	}

	/**
	 * Lets a write to each open connection with a remote port fail.
	 * @param gateway the entry process
	 * @param remotePort the remote port of the connections
	 * @param index the number of encoded buffers that are still written before the one
	 * that fails
	 * @return the number of connections found
	 * @throws Exception if the event loop does not respond
	 */
	static int install(TestGateway gateway, int remotePort, int index) throws Exception {
		List<Channel> channels = gateway.loops().channelsTo(remotePort);
		for (Channel channel : channels) {
			channel.eventLoop()
				.submit(() -> channel.pipeline().addFirst(new FailingWrite(index)))
				.get(TIMEOUT_S, TimeUnit.SECONDS);
		}
		return channels.size();
	}

	/**
	 * Fails one write and passes on all others.
	 *
	 * <p>
	 * Confined to the event loop.
	 */
	private static final class FailingWrite extends ChannelOutboundHandlerAdapter {

		private int left;

		private FailingWrite(int index) {
			this.left = index;
		}

		@Override
		public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
			if (this.left-- == 0) {
				ReferenceCountUtil.release(message);
				promise.setFailure(new OutOfMemoryError("Cannot reserve direct buffer memory"));
				return;
			}
			ctx.write(message, promise);
		}

	}

}
