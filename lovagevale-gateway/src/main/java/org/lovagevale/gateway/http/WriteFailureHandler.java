package org.lovagevale.gateway.http;

import java.util.function.Consumer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;

/**
 * Reports each encoded part of a message that cannot be queued for writing.
 *
 * <p>
 * The encoder writes a message in several parts and reports a failure only when all of
 * them have been written, which is too late to leave out the others. Confined to the
 * event loop.
 */
final class WriteFailureHandler extends ChannelOutboundHandlerAdapter {

	private final Consumer<Throwable> listener;

	/**
	 * Creates a handler that is placed in front of the encoder.
	 * @param listener receives the cause of a failure before the next part is written
	 */
	WriteFailureHandler(Consumer<Throwable> listener) {
		this.listener = listener;
	}

	@Override
	public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
		ctx.write(message, promise);
		Throwable cause = promise.cause();
		if (cause != null) {
			this.listener.accept(cause);
		}
	}

}
