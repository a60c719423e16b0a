package org.lovagevale.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Finds the end of the header or trailer section of a message that arrives in pieces, so
 * that it is decoded at once and takes no more than its bytes before.
 *
 * <p>
 * Each byte is looked at once. Folded lines are joined in place, as RFC 9112, section
 * 5.2, allows a proxy to do, since a decoder copies all that came before for each of
 * them. Invariant: the bytes of the section stay unread until its end has arrived. Not
 * thread-safe.
 */
final class FieldSectionScanner {

	private final int maxBytes;

	private final int maxLines;

	/** Start of the first line that is not complete, from the begin of the section. */
	private int lineStart;

	/** Where the search for the end of that line continues. */
	private int searchFrom;

	/** Bytes of the complete lines, without their ends. */
	private int lineBytes;

	private int lines;

	/** Size of the section, -1 until its end has arrived. */
	private int size = -1;

	/**
	 * Creates a scanner for one section at a time.
	 * @param maxBytes the maximum size of all lines without their ends, in bytes
	 * @param maxLines the maximum number of lines, folded ones counted as one
	 */
	FieldSectionScanner(int maxBytes, int maxLines) {
		this.maxBytes = maxBytes;
		this.maxLines = maxLines;
	}

	/**
	 * Begins a new section.
	 */
	void reset() {
		this.lineStart = 0;
		this.searchFrom = 0;
		this.lineBytes = 0;
		this.lines = 0;
		this.size = -1;
	}

	/**
	 * Looks for the end of the section in the bytes that have arrived since the last
	 * call, unless it was found.
	 * @param buffer the received bytes, from the begin of the section
	 * @return the size of the section with the empty line at its end, or -1 if that has
	 * not arrived
	 * @throws TooLongHttpHeaderException if the section is too large
	 * @throws IllegalArgumentException if a line has no colon or ends with LF only before
	 * a folded one
	 */
	int findEnd(ByteBuf buffer) {
		int begin = buffer.readerIndex();
		while (this.size < 0) {
			int lineFeed = buffer.indexOf(begin + this.searchFrom, buffer.writerIndex(), HttpConstants.LF);
			if (lineFeed < 0) {
				this.searchFrom = buffer.readableBytes();
				checkBytes(this.searchFrom - this.lineStart);
				return -1;
			}
			int start = begin + this.lineStart;
			int end = (lineFeed > start && buffer.getByte(lineFeed - 1) == HttpConstants.CR) ? lineFeed - 1 : lineFeed;
			this.lineStart = lineFeed + 1 - begin;
			this.searchFrom = this.lineStart;
			if (end == start) {
				this.size = this.lineStart;
			}
			else {
				checkBytes(end - start);
				this.lineBytes += end - start;
				readLine(buffer, start, end);
			}
		}
		return this.size;
	}

	private void checkBytes(int bytes) {
		if (this.lineBytes + bytes > this.maxBytes) {
			throw new TooLongHttpHeaderException("header section is larger than " + this.maxBytes + " bytes");
		}
	}

	private void readLine(ByteBuf buffer, int start, int end) {
		byte first = buffer.getByte(start);
		if (this.lines > 0 && (first == HttpConstants.SP || first == HttpConstants.HT)) {
			unfold(buffer, start);
			return;
		}
		if (++this.lines > this.maxLines) {
			throw new TooLongHttpHeaderException("header section has more than " + this.maxLines + " lines");
		}
		if (buffer.indexOf(start, end, HttpConstants.COLON) < 0) {
			throw new IllegalArgumentException("header line without a colon");
		}
	}

	private static void unfold(ByteBuf buffer, int start) {
		// A line that ends with LF only is not valid; joined with the next one, it would
		// be accepted.
		if (buffer.getByte(start - 2) != HttpConstants.CR) {
			throw new IllegalArgumentException("header line without CR at its end");
		}
		buffer.setByte(start - 1, HttpConstants.SP);
		buffer.setByte(start - 2, HttpConstants.SP);
	}

	/**
	 * Returns the number of complete lines of the section, folded ones counted as one.
	 * @return the number of lines
	 */
	int lines() {
		return this.lines;
	}

}
