package org.lovagevale.peer;

import java.nio.ByteBuffer;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses encoded messages, since traffic between regions is billed by volume and a
 * catalog takes long on the slow links of small VMs.
 *
 * <p>
 * A compressed message begins with a byte that MessagePack never uses, followed by its
 * decompressed size in four bytes. Invariant: {@link #decompress} allocates at most
 * {@link #MAX_RATIO} times the size of its input. Stateless and thread-safe.
 */
final class MessageCompression {

	/** Size from which messages are compressed, in bytes; heartbeats are smaller. */
	static final int MIN_BYTES = 1_024;

	/**
	 * Maximum decompressed size as a multiple of the compressed one. Messages that
	 * compress better are sent as they are.
	 */
	static final int MAX_RATIO = 50;

	/** First byte of a compressed message. */
	private static final byte MARKER = (byte) 0xc1;

	private static final int HEADER_BYTES = 1 + Integer.BYTES;

	private MessageCompression() {
	}

	/**
	 * Compresses a message if that makes it smaller.
	 * @param message the encoded message
	 * @return the compressed message, or the message itself
	 */
	static byte[] compress(byte[] message) {
		if (message.length < MIN_BYTES) {
			return message;
		}
		Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
		try {
			deflater.setInput(message);
			deflater.finish();
			byte[] buffer = new byte[message.length - HEADER_BYTES];
			int length = deflater.deflate(buffer);
			boolean decodable = (long) (length + HEADER_BYTES) * MAX_RATIO >= message.length;
			if (!deflater.finished() || !decodable) {
				return message;
			}
			return ByteBuffer.allocate(HEADER_BYTES + length)
				.put(MARKER)
				.putInt(message.length)
				.put(buffer, 0, length)
				.array();
		}
		finally {
			deflater.end();
		}
	}

	/**
	 * Decompresses a message.
	 * @param bytes a message that may be compressed
	 * @return the encoded message
	 * @throws PeerException if the message is compressed and malformed or too large
	 */
	static byte[] decompress(byte[] bytes) throws PeerException {
		if (bytes.length == 0 || bytes[0] != MARKER) {
			return bytes;
		}
		if (bytes.length < HEADER_BYTES) {
			throw new PeerException("malformed message: compressed message without a size", null);
		}
		int size = ByteBuffer.wrap(bytes, 1, Integer.BYTES).getInt();
		if (size < 0 || size > Math.min((long) bytes.length * MAX_RATIO, PeerCodec.MAX_MESSAGE_BYTES)) {
			throw new PeerException("malformed message: " + bytes.length + " bytes state a size of " + size, null);
		}
		return inflate(bytes, size);
	}

	private static byte[] inflate(byte[] bytes, int size) throws PeerException {
		Inflater inflater = new Inflater(true);
		try {
			inflater.setInput(bytes, HEADER_BYTES, bytes.length - HEADER_BYTES);
			byte[] message = new byte[size];
			int length = 0;
			int read = -1;
			while (length < size && read != 0) {
				read = inflater.inflate(message, length, size - length);
				length += read;
			}
			// Reads the end of the compressed data.
			boolean longer = inflater.inflate(new byte[1]) > 0;
			if (length < size || longer || !inflater.finished() || inflater.getRemaining() > 0) {
				throw new PeerException("malformed message: compressed data does not have the stated size", null);
			}
			return message;
		}
		catch (DataFormatException ex) {
			throw new PeerException("malformed message: " + ex.getMessage(), ex);
		}
		finally {
			inflater.end();
		}
	}

}
