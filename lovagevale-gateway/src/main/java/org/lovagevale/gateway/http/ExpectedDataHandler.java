package org.lovagevale.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Passes received bytes on to the decoder of a connection only while a response is
 * expected, so that bytes of one exchange never become part of the response to another
 * one.
 *
 * <p>
 * Confined to the event loop.
 */
final class ExpectedDataHandler extends ChannelInboundHandlerAdapter {

	private final BackendConnection connection;

	/**
	 * Creates a handler in front of the decoder.
	 * @param connection the connection that expects responses
	 */
	ExpectedDataHandler(BackendConnection connection) {
		this.connection = connection;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (message instanceof ByteBuf bytes && !this.connection.isResponseExpected()) {
			int count = bytes.readableBytes();
			bytes.release();
			this.connection.closeAfterUnexpectedBytes(count);
			return;
		}
		ctx.fireChannelRead(message);
	}

}
