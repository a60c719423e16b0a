package org.lovagevale.peer;

import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import org.jspecify.annotations.Nullable;

/**
 * Splits received bytes into frames.
 *
 * <p>
 * Invariants: the first frame, which contains the hello message, has at most
 * {@link #MAX_FIRST_FRAME_BYTES}; the incomplete frames of all links are within the limit
 * of {@link PartialFrames}. Confined to the event loop of its link.
 */
final class PeerFrameDecoder extends LengthFieldBasedFrameDecoder {

	/** Maximum size of the first frame, in bytes; names have at most 63 characters. */
	static final int MAX_FIRST_FRAME_BYTES = 1_024;

	static final int LENGTH_FIELD_BYTES = 4;

	private final BooleanSupplier isIntroduced;

	private final PartialFrames partialFrames;

	/**
	 * Creates a decoder for a new link.
	 * @param isIntroduced tells whether the hello message was received
	 * @param partialFrames is told the size of an incomplete frame
	 */
	PeerFrameDecoder(BooleanSupplier isIntroduced, PartialFrames partialFrames) {
		super(PeerCodec.MAX_MESSAGE_BYTES + LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES);
		this.isIntroduced = isIntroduced;
		this.partialFrames = partialFrames;
	}

	@Override
	protected @Nullable Object decode(ChannelHandlerContext context, ByteBuf in) throws Exception {
		boolean limited = !this.isIntroduced.getAsBoolean() && in.readableBytes() >= LENGTH_FIELD_BYTES;
		if (limited && in.getUnsignedInt(in.readerIndex()) > MAX_FIRST_FRAME_BYTES) {
			in.skipBytes(in.readableBytes());
			throw new TooLongFrameException("first frame is larger than " + MAX_FIRST_FRAME_BYTES + " bytes");
		}
		return super.decode(context, in);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		super.channelRead(context, message);
		record(context, context.channel().isActive() ? actualReadableBytes() : 0);
	}

	private void record(ChannelHandlerContext context, int bytes) {
		Channel oldest = this.partialFrames.record(context.channel(), bytes);
		if (oldest != null) {
			oldest.pipeline()
				.fireExceptionCaught(new TooLongFrameException(
						"incomplete frames of all links are larger than " + PartialFrames.MAX_TOTAL_BYTES + " bytes"));
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) throws Exception {
		super.channelInactive(context);
		record(context, 0);
	}

}
