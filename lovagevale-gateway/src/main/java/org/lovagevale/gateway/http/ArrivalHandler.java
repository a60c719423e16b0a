package org.lovagevale.gateway.http;

import java.util.ArrayDeque;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * Notifies a connection of received bytes before and after they are decoded, and holds
 * back those that arrive while the process is overfull: each connection that has data is
 * read once before a pause takes effect, and a decoded head takes many times the size of
 * its bytes.
 *
 * <p>
 * Invariant: bytes are decoded in the order of their arrival. Confined to the event loop.
 */
final class ArrivalHandler extends ChannelInboundHandlerAdapter {

	private final FrontendConnection connection;

	private final ArrayDeque<ByteBuf> heldBack = new ArrayDeque<>();

	private @Nullable ChannelHandlerContext context;

	/**
	 * Creates a handler.
	 * @param connection the connection that decides whether bytes are decoded
	 */
	ArrivalHandler(FrontendConnection connection) {
		this.connection = connection;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (!(message instanceof ByteBuf bytes)) {
			ctx.fireChannelRead(message);
			return;
		}
		if (this.connection.bytesArrived(bytes.readableBytes()) && this.heldBack.isEmpty()) {
			decode(ctx, bytes);
		}
		else {
			this.heldBack.add(bytes);
		}
	}

	/**
	 * Decodes the bytes that were held back.
	 */
	void decodeHeldBack() {
		ChannelHandlerContext ctx = this.context;
		while (ctx != null && !this.heldBack.isEmpty()) {
			decode(ctx, this.heldBack.remove());
		}
	}

	private void decode(ChannelHandlerContext ctx, ByteBuf bytes) {
		ctx.fireChannelRead(bytes);
		StrictRequestDecoder decoder = ctx.pipeline().get(StrictRequestDecoder.class);
		if (decoder != null) {
			this.connection.bytesDecoded(decoder.partialHeadBytes(), decoder.partialHeadLines());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.heldBack.forEach(ReferenceCountUtil::release);
		this.heldBack.clear();
		ctx.fireChannelInactive();
	}

}
