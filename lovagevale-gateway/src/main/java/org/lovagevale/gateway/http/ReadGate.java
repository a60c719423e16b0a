package org.lovagevale.gateway.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;

/**
 * Reads from a connection only while that is wanted. A decoder behind it that has decoded
 * nothing asks for more even if reading is switched off.
 *
 * <p>
 * Confined to the event loop.
 */
class ReadGate extends ChannelDuplexHandler {

	@Override
	public void read(ChannelHandlerContext ctx) {
		if (ctx.channel().config().isAutoRead()) {
			ctx.read();
		}
	}

}
