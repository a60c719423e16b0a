package org.lovagevale.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import org.jspecify.annotations.Nullable;

/**
 * Has the decoder of a connection decode in turns of the event loop, so that other
 * connections are served between them.
 *
 * <p>
 * Invariant: what a turn left undecoded is decoded in later ones, as soon as its parts
 * can be handled, and in a long turn if it takes much time; nothing is read meanwhile.
 * Confined to the event loop.
 */
final class DecodingTurns {

	private final Class<? extends ChannelHandler> decoderType;

	private final TurnScheduler scheduler;

	private final Listener listener;

	private @Nullable ChannelHandlerContext context;

	private boolean scheduled;

	private boolean longScheduled;

	/** Whether the decoder is decoding, so that it must not be called. */
	private boolean decoding;

	/**
	 * Creates the turns of a connection.
	 * @param decoderType the type of the decoder
	 * @param scheduler runs the later turns
	 * @param listener is notified after each turn
	 */
	DecodingTurns(Class<? extends ChannelHandler> decoderType, TurnScheduler scheduler, Listener listener) {
		this.decoderType = decoderType;
		this.scheduler = scheduler;
		this.listener = listener;
	}

	/**
	 * Sets the context of the handler in front of the decoder.
	 * @param added the context
	 */
	void start(ChannelHandlerContext added) {
		this.context = added;
	}

	/**
	 * Decodes received bytes in a new turn.
	 * @param bytes the bytes, which the decoder releases
	 */
	void decode(ByteBuf bytes) {
		ChannelHandlerContext open = this.context;
		if (open == null) {
			bytes.release();
			return;
		}
		PartDecoder decoder = decoder(open);
		if (decoder != null) {
			decoder.parts().beginTurn();
		}
		this.decoding = true;
		try {
			open.fireChannelRead(bytes);
		}
		finally {
			this.decoding = false;
		}
		endTurn(open);
	}

	private @Nullable PartDecoder decoder(ChannelHandlerContext open) {
		ChannelHandlerContext found = open.pipeline().context(this.decoderType);
		return (found != null && found.handler() instanceof PartDecoder decoder) ? decoder : null;
	}

	private void endTurn(ChannelHandlerContext open) {
		PartDecoder decoder = decoder(open);
		if (decoder == null) {
			return;
		}
		this.listener.turnEnded(decoder);
		if (!decoder.parts().isSuspended() || !decoder.parts().isDecodable()) {
			return;
		}
		if (decoder.parts().isLongTurnNeeded()) {
			continueInLongTurn();
		}
		else {
			continueLater();
		}
	}

	private void continueInLongTurn() {
		if (!this.longScheduled) {
			this.longScheduled = true;
			this.scheduler.addLong(this::takeLongTurn);
		}
	}

	private boolean takeLongTurn() {
		this.longScheduled = false;
		ChannelHandlerContext open = this.context;
		PartDecoder decoder = (open != null && open.channel().isActive()) ? decoder(open) : null;
		if (open == null || decoder == null || !decoder.parts().isLongTurnNeeded()) {
			return false;
		}
		decodeHeld(open, true);
		open.fireChannelReadComplete();
		return true;
	}

	/**
	 * Continues in another turn, since decoded parts may be handled again.
	 */
	void continueLater() {
		if (!this.scheduled) {
			this.scheduled = true;
			this.scheduler.add(this::takeTurn);
		}
	}

	private void takeTurn() {
		this.scheduled = false;
		ChannelHandlerContext open = this.context;
		if (open == null || !open.channel().isActive()) {
			return;
		}
		decodeHeld(open, false);
		open.fireChannelReadComplete();
	}

	private void decodeHeld(ChannelHandlerContext open, boolean longTurn) {
		ChannelHandlerContext found = open.pipeline().context(this.decoderType);
		if (found == null || !(found.handler() instanceof PartDecoder decoder)) {
			return;
		}
		if (longTurn) {
			decoder.parts().beginLongTurn();
		}
		else {
			decoder.parts().beginTurn();
		}
		this.decoding = true;
		try {
			decoder.decodeHeld(found);
		}
		catch (Exception ex) {
			open.pipeline().fireExceptionCaught(ex);
		}
		finally {
			this.decoding = false;
		}
		endTurn(open);
	}

	/**
	 * Discards what is not decoded yet and all that is received later.
	 */
	void discardInput() {
		ChannelHandlerContext open = this.context;
		PartDecoder decoder = (open != null) ? decoder(open) : null;
		if (open != null && decoder != null) {
			decoder.parts().discardInput();
			if (!this.decoding) {
				decodeHeld(open, false);
			}
		}
	}

	/**
	 * Is notified when a turn has ended.
	 */
	@FunctionalInterface
	interface Listener {

		/**
		 * Called after bytes were decoded. Nothing is to be read while decoding is
		 * suspended.
		 * @param decoder the decoder
		 */
		void turnEnded(PartDecoder decoder);

	}

}
