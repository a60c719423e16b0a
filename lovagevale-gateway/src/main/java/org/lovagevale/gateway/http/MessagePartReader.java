package org.lovagevale.gateway.http;

import java.util.List;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Passes received bytes on to an HTTP decoder part by part: the first line of a message,
 * its header section as a whole, pieces of its body, and its trailer section as a whole.
 *
 * <p>
 * A section that has not arrived completely is kept as bytes, since the objects that it
 * is decoded into take many times as much, and decoding them may cost more the longer it
 * is. In one turn of the event loop, a limited number of parts is decoded, so that a
 * connection with many small ones leaves time to the others; a header section that takes
 * much time is decoded in a long turn only. Not thread-safe.
 */
final class MessagePartReader {

	/** Maximum number of parts that are decoded in one turn. */
	static final int MAX_PARTS_PER_TURN = 16;

	/** Maximum size of the empty lines before the first line of a message, in bytes. */
	private static final int MAX_LEADING_BYTES = 64;

	/**
	 * Maximum size of the trailer section, in bytes. It is not passed on.
	 */
	private static final int MAX_TRAILER_BYTES = 8_192;

	private static final int MAX_TRAILER_LINES = 64;

	private final Decoder decoder;

	private final BooleanSupplier isDecodable;

	private final TurnLimits turnLimits;

	private final FieldSectionScanner headers;

	private final FieldSectionScanner trailers;

	private State state = State.FIRST_LINE;

	/** Bytes before the first line of the current message. */
	private int leadingBytes;

	/** Part of the first line in which its end was not found. */
	private int searchedBytes;

	/** Bytes of the head of the current message that are decoded. */
	private int headBytes;

	/** Whether a message is complete and the next one has not begun. */
	private boolean messageEnded;

	private int partsLeft = MAX_PARTS_PER_TURN;

	private boolean suspended;

	/** Whether the current turn may take long. */
	private boolean longTurn;

	/** Whether a header section has arrived that is decoded in a long turn. */
	private boolean longTurnNeeded;

	private boolean inputClosed;

	/**
	 * Creates a reader for a new connection.
	 * @param decoder decodes the parts
	 * @param isDecodable tells whether decoded parts can be handled now
	 * @param maxHeaderBytes the maximum size of the header section, in bytes
	 * @param maxHeaderLines the maximum number of its lines
	 * @param turnLimits the size up to which it is decoded in any turn; a larger one is
	 * decoded in a long turn
	 */
	MessagePartReader(Decoder decoder, BooleanSupplier isDecodable, int maxHeaderBytes, int maxHeaderLines,
			TurnLimits turnLimits) {
		this.decoder = decoder;
		this.isDecodable = isDecodable;
		this.turnLimits = turnLimits;
		this.headers = new FieldSectionScanner(maxHeaderBytes, maxHeaderLines);
		this.trailers = new FieldSectionScanner(Math.min(maxHeaderBytes, MAX_TRAILER_BYTES), MAX_TRAILER_LINES);
	}

	/**
	 * Begins a turn, in which further parts are decoded.
	 */
	void beginTurn() {
		beginTurn(false);
	}

	/**
	 * Begins a turn that may take long. It ends with the first section that needs one.
	 */
	void beginLongTurn() {
		beginTurn(true);
	}

	private void beginTurn(boolean mayTakeLong) {
		this.partsLeft = MAX_PARTS_PER_TURN;
		this.suspended = false;
		this.longTurn = mayTakeLong;
	}

	/**
	 * Tells whether the next part is decoded in a long turn.
	 * @return {@code true} if it has arrived and takes much time
	 */
	boolean isLongTurnNeeded() {
		return this.longTurnNeeded;
	}

	/**
	 * Tells whether bytes are left that are to be decoded in another turn.
	 * @return {@code true} if decoding stopped before all complete parts were decoded
	 */
	boolean isSuspended() {
		return this.suspended;
	}

	/**
	 * Tells whether the next part can be decoded in the next turn.
	 * @return {@code false} if decoded parts cannot be handled now
	 */
	boolean isDecodable() {
		return this.isDecodable.getAsBoolean();
	}

	/**
	 * Has all further bytes skipped.
	 */
	void discardInput() {
		this.state = State.BROKEN;
		this.longTurnNeeded = false;
	}

	/**
	 * Has all remaining parts decoded, since the connection is closed.
	 */
	void closeInput() {
		this.inputClosed = true;
	}

	private boolean isBeforeBody() {
		return this.state == State.FIRST_LINE || this.state == State.HEADERS;
	}

	/**
	 * Returns the size of the head of the current message, or of the last one until the
	 * next one begins.
	 * @return the decoded bytes of the head
	 */
	int headBytes() {
		return this.headBytes;
	}

	/**
	 * Returns the decoded bytes of a head that has arrived in part.
	 * @return the number of bytes, 0 if there is no such head
	 */
	int partialHeadBytes() {
		return (isBeforeBody() && !this.messageEnded) ? this.headBytes : 0;
	}

	/**
	 * Decodes the next part, if it has arrived.
	 * @param ctx the context of the decoder
	 * @param buffer the received bytes; the decoded ones are read
	 * @param out receives the decoded objects
	 * @throws Exception if the decoder fails
	 */
	void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		boolean gated = !this.inputClosed && this.state != State.BROKEN;
		if (gated && (this.partsLeft == 0 || !this.isDecodable.getAsBoolean())) {
			this.suspended = true;
			return;
		}
		if (this.messageEnded) {
			this.messageEnded = false;
			this.leadingBytes = 0;
			this.searchedBytes = 0;
			this.headBytes = 0;
		}
		boolean inHead = isBeforeBody();
		int start = buffer.readerIndex();
		int before = out.size();
		try {
			switch (this.state) {
				case FIRST_LINE -> decodeFirstLine(ctx, buffer, out);
				case HEADERS -> decodeHeaders(ctx, buffer, out);
				case BODY -> decodeBody(ctx, buffer, out);
				case TRAILERS -> decodeSection(this.trailers, ctx, buffer, out);
				case BROKEN -> buffer.skipBytes(buffer.readableBytes());
			}
		}
		catch (TooLongHttpHeaderException | IllegalArgumentException ex) {
			buffer.skipBytes(buffer.readableBytes());
			HttpMessage invalid = this.decoder.createInvalid();
			invalid.setDecoderResult(DecoderResult.failure(ex));
			out.add(invalid);
		}
		if (inHead) {
			this.headBytes += buffer.readerIndex() - start;
		}
		for (Object part : out.subList(before, out.size())) {
			this.partsLeft = Math.max(0, this.partsLeft - 1);
			recordPart(part);
		}
	}

	private void recordPart(Object part) {
		if (part instanceof HttpMessage message) {
			this.state = message.decoderResult().isFailure() ? State.BROKEN : State.BODY;
		}
		if (part instanceof LastHttpContent last && this.state != State.BROKEN) {
			this.state = last.decoderResult().isFailure() ? State.BROKEN : State.FIRST_LINE;
			this.messageEnded = true;
		}
	}

	private void decodeFirstLine(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		skipLeadingBytes(buffer);
		if (!buffer.isReadable()) {
			return;
		}
		this.decoder.checkFirstBytes(buffer);
		int begin = buffer.readerIndex();
		int lineFeed = buffer.indexOf(begin + this.searchedBytes, buffer.writerIndex(), HttpConstants.LF);
		if (lineFeed < 0) {
			this.searchedBytes = buffer.readableBytes();
			// Nothing is decoded, but a line that is too long is rejected.
			this.decoder.decode(ctx, buffer, out);
			return;
		}
		this.decoder.decode(ctx, buffer.readSlice(lineFeed + 1 - begin), out);
		this.state = State.HEADERS;
		this.headers.reset();
	}

	private void skipLeadingBytes(ByteBuf buffer) {
		while (this.searchedBytes == 0 && buffer.isReadable() && isLineEnd(buffer.getByte(buffer.readerIndex()))) {
			buffer.skipBytes(1);
			if (++this.leadingBytes > MAX_LEADING_BYTES) {
				throw new IllegalArgumentException("empty lines in place of a message");
			}
		}
	}

	private static boolean isLineEnd(byte value) {
		return value == HttpConstants.CR || value == HttpConstants.LF;
	}

	private void decodeHeaders(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		int bytes = this.headers.findEnd(buffer);
		this.longTurnNeeded = bytes >= 0 && this.turnLimits.isExceeded(this.headers.lines(), bytes);
		if (this.longTurnNeeded && !this.longTurn && !this.inputClosed) {
			this.suspended = true;
		}
		else if (bytes >= 0) {
			this.longTurn = this.longTurn && !this.longTurnNeeded;
			this.longTurnNeeded = false;
			this.decoder.decode(ctx, buffer.readSlice(bytes), out);
		}
	}

	private void decodeSection(FieldSectionScanner section, ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
			throws Exception {
		int bytes = section.findEnd(buffer);
		if (bytes >= 0) {
			this.decoder.decode(ctx, buffer.readSlice(bytes), out);
		}
	}

	private void decodeBody(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		int before = out.size();
		int start = buffer.readerIndex();
		this.decoder.decode(ctx, buffer, out);
		if (out.size() == before && isLastChunkSize(buffer, start)) {
			this.state = State.TRAILERS;
			this.trailers.reset();
		}
	}

	// A body without chunks has no bytes that are decoded into nothing.
	private static boolean isLastChunkSize(ByteBuf buffer, int start) {
		boolean zero = false;
		for (int i = start; i < buffer.readerIndex(); i++) {
			byte digit = buffer.getByte(i);
			if (digit == '0') {
				zero = true;
			}
			else if (zero || !Character.isWhitespace(digit)) {
				return zero && Character.digit(digit, 16) < 0;
			}
		}
		return zero;
	}

	/**
	 * The parts of a message, and the state after one that cannot be decoded.
	 */
	private enum State {

		FIRST_LINE, HEADERS, BODY, TRAILERS, BROKEN

	}

	/**
	 * Decodes parts of messages.
	 */
	interface Decoder {

		/**
		 * Checks the bytes that the first line of a message begins with.
		 * @param buffer the bytes that have arrived of it
		 * @throws IllegalArgumentException if no message begins with them
		 */
		void checkFirstBytes(ByteBuf buffer);

		/**
		 * Decodes a part.
		 * @param ctx the context of the decoder
		 * @param part the bytes
		 * @param out receives the decoded objects
		 * @throws Exception if decoding fails
		 */
		void decode(ChannelHandlerContext ctx, ByteBuf part, List<Object> out) throws Exception;

		/**
		 * Creates a message that stands for one that cannot be decoded.
		 * @return the message
		 */
		HttpMessage createInvalid();

	}

}
