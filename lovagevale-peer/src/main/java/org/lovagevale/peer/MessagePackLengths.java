package org.lovagevale.peer;

import java.io.IOException;

import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Checks that the lengths declared in MessagePack input do not exceed the input.
 *
 * <p>
 * The parser allocates a buffer of the declared length of a string before it reads the
 * string, so an input of ten bytes could otherwise cause an allocation of two gigabytes.
 * Thread-safe.
 */
final class MessagePackLengths {

	private MessagePackLengths() {
	}

	static void check(byte[] bytes) throws PeerException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			long values = 1;
			while (values > 0) {
				values += readHeader(unpacker, bytes.length) - 1;
				long remaining = bytes.length - unpacker.getTotalReadBytes();
				// Each value is encoded in at least one byte.
				if (values > remaining) {
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
	 * Reads an array header or a whole scalar value.
	 * @param unpacker the input
	 * @param size the size of the whole input, in bytes
	 * @return the number of elements that follow an array header, 0 for a scalar value
	 * @throws IOException if the input is malformed
	 * @throws PeerException if a length or type is not allowed
	 */
	private static long readHeader(MessageUnpacker unpacker, int size) throws IOException, PeerException {
		MessageFormat format = unpacker.getNextFormat();
		return switch (format.getValueType()) {
			case ARRAY -> unpacker.unpackArrayHeader();
			case STRING -> skipPayload(unpacker, unpacker.unpackRawStringHeader(), size);
			case INTEGER, BOOLEAN -> {
				unpacker.skipValue();
				yield 0;
			}
			case MAP, BINARY, EXTENSION, FLOAT, NIL ->
				throw new PeerException("malformed message: unexpected " + format, null);
		};
	}

	private static long skipPayload(MessageUnpacker unpacker, int length, int size) throws IOException, PeerException {
		if (length > size - unpacker.getTotalReadBytes()) {
			throw new PeerException("malformed message: declared length exceeds the message", null);
		}
		unpacker.readPayloadAsReference(length);
		return 0;
	}

}
