package org.lovagevale.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;

/**
 * Notifies a connection of received bytes before and after they are decoded.
 *
 * <p>
 * Confined to the event loop.
 */
final class ArrivalHandler extends ReadGate {

	private final FrontendConnection connection;

	private final DecodingTurns turns;

	/**
	 * Creates a handler in front of the decoder.
	 * @param connection the connection
	 * @param scheduler runs the later turns in which received bytes are decoded
	 */
	ArrivalHandler(FrontendConnection connection, TurnScheduler scheduler) {
		this.connection = connection;
		this.turns = new DecodingTurns(StrictRequestDecoder.class, scheduler, connection::turnEnded);
	}

	/**
	 * Returns the turns in which received bytes are decoded.
	 * @return the turns
	 */
	DecodingTurns turns() {
		return this.turns;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.turns.start(ctx);
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (!(message instanceof ByteBuf bytes)) {
			ctx.fireChannelRead(message);
			return;
		}
		this.connection.bytesArrived();
		this.turns.decode(bytes);
	}

}
