package org.lovagevale.gateway.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * Closes a connection in two steps: first its output, then, once the caller has closed it
 * as well or a limited time has passed, the connection itself. What the caller sends
 * meanwhile is discarded.
 *
 * <p>
 * The operating system resets a connection on which data arrives after the close, and
 * discards the part of the last response that the caller has not received yet. A
 * connection whose close is to reset it, or which still has data to write, is closed at
 * once. The handler is the first of its pipeline. Confined to the event loop.
 */
public final class LingeringCloseHandler extends ChannelDuplexHandler {

	/**
	 * Maximum time between the end of the output and the close, in milliseconds. A caller
	 * that follows the protocol closes its connection within a round trip.
	 */
	public static final long LINGER_MS = 1_000;

	private final long maxLingerMs;

	private @Nullable ChannelHandlerContext context;

	private boolean lingering;

	private @Nullable ScheduledFuture<?> closeTimer;

	/**
	 * Creates a handler that closes the connection after {@link #LINGER_MS}.
	 */
	public LingeringCloseHandler() {
		this(LINGER_MS);
	}

	/**
	 * Creates a handler.
	 * @param maxLingerMs the maximum time between the end of the output and the close, in
	 * milliseconds
	 */
	LingeringCloseHandler(long maxLingerMs) {
		this.maxLingerMs = maxLingerMs;
	}

	/**
	 * Closes the connection without waiting for the caller any longer, if its output is
	 * closed.
	 */
	void closeNow() {
		ChannelHandlerContext open = this.context;
		if (open != null && this.lingering) {
			open.close();
		}
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	@Override
	public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
		if (this.lingering && !isResetOnClose(ctx)) {
			completeOnClose(ctx, promise);
			return;
		}
		if (this.lingering || !(ctx.channel() instanceof DuplexChannel channel) || !channel.isActive()
				|| channel.isOutputShutdown() || isResetOnClose(ctx) || hasPendingWrites(ctx)) {
			ctx.close(promise);
			return;
		}
		this.lingering = true;
		completeOnClose(ctx, promise);
		this.closeTimer = ctx.executor().schedule(() -> ctx.close(), this.maxLingerMs, TimeUnit.MILLISECONDS);
		channel.shutdownOutput().addListener((ChannelFuture shutdown) -> {
			if (!shutdown.isSuccess()) {
				ctx.close();
			}
		});
		ctx.read();
	}

	private static boolean isResetOnClose(ChannelHandlerContext ctx) {
		Integer lingerSeconds = ctx.channel().config().getOption(ChannelOption.SO_LINGER);
		return lingerSeconds != null && lingerSeconds == 0;
	}

	private static boolean hasPendingWrites(ChannelHandlerContext ctx) {
		ChannelOutboundBuffer pending = ctx.channel().unsafe().outboundBuffer();
		return pending != null && !pending.isEmpty();
	}

	private static void completeOnClose(ChannelHandlerContext ctx, ChannelPromise promise) {
		if (!promise.isVoid()) {
			ctx.channel().closeFuture().addListener((closed) -> promise.trySuccess());
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.lingering) {
			ReferenceCountUtil.release(message);
			return;
		}
		ctx.fireChannelRead(message);
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		if (this.lingering) {
			ctx.read();
			return;
		}
		ctx.fireChannelReadComplete();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		ScheduledFuture<?> timer = this.closeTimer;
		if (timer != null) {
			timer.cancel(false);
		}
		ctx.fireChannelInactive();
	}

}
