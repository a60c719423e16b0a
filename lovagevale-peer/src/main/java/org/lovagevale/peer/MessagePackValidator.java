package org.lovagevale.peer;

import java.io.IOException;

import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Checks that MessagePack input is exactly one value of the types that peer messages
 * contain, that the declared lengths of its strings and arrays do not exceed the input,
 * and that there are not too many values.
 *
 * <p>
 * The parser allocates a buffer of the declared length of a string before it reads the
 * string, so an input of ten bytes could otherwise cause an allocation of two gigabytes.
 * Thread-safe.
 */
final class MessagePackValidator {

	/**
	 * Maximum number of values in a message. An element of one byte takes 40 bytes and
	 * more once it is decoded; the largest sound messages have more than 10 bytes for
	 * each value.
	 */
	static final int MAX_VALUES = PeerCodec.MAX_MESSAGE_BYTES / 10;

	private MessagePackValidator() {
	}

	static void validate(byte[] bytes) throws PeerException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			long pendingValues = 1;
			int values = 0;
			while (pendingValues > 0) {
				if (++values > MAX_VALUES) {
					throw new PeerException("malformed message: more than " + MAX_VALUES + " values", null);
				}
				pendingValues += readScalarOrArrayHeader(unpacker, bytes.length) - 1;
				long remainingBytes = bytes.length - unpacker.getTotalReadBytes();
				// Each value is encoded in at least one byte.
				if (pendingValues > remainingBytes) {
					throw new PeerException("malformed message: declared length exceeds the message", null);
				}
			}
			if (unpacker.getTotalReadBytes() != bytes.length) {
				throw new PeerException("malformed message: bytes after the end", null);
			}
		}
		catch (IOException | RuntimeException ex) {
			throw new PeerException("malformed message: " + ex.getMessage(), ex);
		}
	}

	/**
	 * Reads a scalar value, or the header of an array without its elements.
	 * @param unpacker the input
	 * @param inputBytes the size of the whole input in bytes
	 * @return the number of elements in the array, 0 for a scalar value
	 * @throws IOException if the input is malformed
	 * @throws PeerException if the length of a string exceeds the input or the type of
	 * the value is not allowed
	 */
	private static long readScalarOrArrayHeader(MessageUnpacker unpacker, int inputBytes)
			throws IOException, PeerException {
		MessageFormat format = unpacker.getNextFormat();
		return switch (format.getValueType()) {
			case ARRAY -> unpacker.unpackArrayHeader();
			case STRING -> skipString(unpacker, unpacker.unpackRawStringHeader(), inputBytes);
			case INTEGER, BOOLEAN -> {
				unpacker.skipValue();
				yield 0;
			}
			case MAP, BINARY, EXTENSION, FLOAT, NIL ->
				throw new PeerException("malformed message: unexpected " + format, null);
		};
	}

	// Returns 0, because a string has no elements.
	private static long skipString(MessageUnpacker unpacker, int length, int inputBytes)
			throws IOException, PeerException {
		if (length > inputBytes - unpacker.getTotalReadBytes()) {
			throw new PeerException("malformed message: declared length exceeds the message", null);
		}
		unpacker.readPayloadAsReference(length);
		return 0;
	}

}
