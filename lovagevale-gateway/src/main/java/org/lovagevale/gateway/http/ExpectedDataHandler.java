package org.lovagevale.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;

/**
 * Passes received bytes on to the decoder of a connection only while a response is
 * expected, so that bytes of one exchange never become part of the response to another
 * one.
 *
 * <p>
 * Confined to the event loop.
 */
final class ExpectedDataHandler extends ReadGate {

	private final BackendConnection connection;

	private final DecodingTurns turns;

	/**
	 * Creates a handler in front of the decoder.
	 * @param connection the connection that expects responses
	 * @param scheduler runs the later turns in which received bytes are decoded
	 */
	ExpectedDataHandler(BackendConnection connection, TurnScheduler scheduler) {
		this.connection = connection;
		this.turns = new DecodingTurns(BackendResponseDecoder.class, scheduler, connection::turnEnded);
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
		if (!this.connection.isResponseExpected()) {
			int count = bytes.readableBytes();
			bytes.release();
			this.connection.closeAfterUnexpectedBytes(count);
			return;
		}
		this.turns.decode(bytes);
	}

}
