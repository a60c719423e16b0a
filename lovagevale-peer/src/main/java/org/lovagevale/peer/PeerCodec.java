package org.lovagevale.peer;

import java.io.IOException;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;
import org.lovagevale.core.catalog.PublishedItem;
import org.lovagevale.core.catalog.RetainedItem;
import org.lovagevale.core.message.DemandEntry;
import org.lovagevale.core.message.HeardReport;
import org.lovagevale.core.message.MemberEntry;
import org.lovagevale.core.message.PeerMessage;
import org.lovagevale.core.message.RosterEntry;
import org.lovagevale.core.message.ServerEntry;
import org.lovagevale.core.message.SuspectEntry;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes peer messages as MessagePack and decodes them.
 *
 * <p>
 * A message is encoded as an array of two elements: its type code and an array of the
 * components of its record in order of declaration. Large messages are compressed.
 * Components appended by a newer version are ignored and those that an older version
 * lacks have defaults, so that processes of different versions can communicate during an
 * upgrade. Invariant: {@link #decode(byte[])} either returns a message without null
 * components or throws {@link PeerException}; it allocates no more than a small multiple
 * of the input. Thread-safe.
 */
public final class PeerCodec {

	/** Maximum size of an encoded message, in bytes; a complete settings tree fits. */
	public static final int MAX_MESSAGE_BYTES = 1_310_720;

	private static final int MAX_NESTING_DEPTH = 8;

	/** Maximum size of an encoded message that is kept, in bytes. */
	private static final int MAX_KEPT_BYTES = 65_536;

	private final ObjectMapper mapper;

	private volatile @Nullable EncodedMessage lastEncoded;

	/**
	 * Creates a codec.
	 */
	public PeerCodec() {
		this.mapper = new ObjectMapper(new MessagePackFactory());
		this.mapper.getFactory()
			.setStreamReadConstraints(StreamReadConstraints.builder()
				.maxNestingDepth(MAX_NESTING_DEPTH)
				.maxStringLength(MAX_MESSAGE_BYTES)
				.build());
		this.mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
		this.mapper.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);
		this.mapper.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);
		this.mapper.disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT);
		this.mapper.setDefaultSetterInfo(JsonSetter.Value.forValueNulls(Nulls.FAIL, Nulls.FAIL));
		for (PeerMessageType type : PeerMessageType.values()) {
			useArrayFormat(type.messageClass());
		}
		useArrayFormat(MemberEntry.class);
		useArrayFormat(ServerEntry.class);
		useArrayFormat(SuspectEntry.class);
		useArrayFormat(RosterEntry.class);
		useArrayFormat(PublishedItem.class);
		useArrayFormat(RetainedItem.class);
		useArrayFormat(HeardReport.class);
		useArrayFormat(DemandEntry.class);
	}

	/**
	 * Encodes a message. A message that is sent to several peers in succession is encoded
	 * once.
	 * @param message the message
	 * @return the encoded message, at most {@link #MAX_MESSAGE_BYTES} bytes; must not be
	 * modified
	 * @throws PeerException if the message is too large or cannot be encoded
	 */
	public byte[] encode(PeerMessage message) throws PeerException {
		EncodedMessage last = this.lastEncoded;
		if (last != null && last.message() == message) {
			return last.bytes();
		}
		PeerMessageType type = PeerMessageType.of(message);
		byte[] bytes;
		try {
			bytes = this.mapper.writeValueAsBytes(new Object[] { type.code(), message });
		}
		catch (IOException ex) {
			throw new PeerException("cannot encode " + type, ex);
		}
		if (bytes.length > MAX_MESSAGE_BYTES) {
			throw new PeerException(
					type + " has " + bytes.length + " bytes, at most " + MAX_MESSAGE_BYTES + " are allowed", null);
		}
		bytes = MessageCompression.compress(bytes);
		if (bytes.length <= MAX_KEPT_BYTES) {
			this.lastEncoded = new EncodedMessage(message, bytes);
		}
		return bytes;
	}

	/**
	 * Decodes a message.
	 * @param bytes the encoded message
	 * @return the message
	 * @throws PeerException if the bytes are not exactly one message of a known type
	 */
	public PeerMessage decode(byte[] bytes) throws PeerException {
		byte[] received = MessageCompression.decompress(bytes);
		MessagePackValidator.validate(received);
		byte[] encoded = AppendedComponents.complete(received);
		try (JsonParser parser = this.mapper.createParser(encoded)) {
			expect(parser.nextToken() == JsonToken.START_ARRAY, "array");
			expect(parser.nextToken() == JsonToken.VALUE_NUMBER_INT, "type code");
			int code = parser.getIntValue();
			PeerMessageType type = PeerMessageType.ofCode(code);
			if (type == null) {
				throw new PeerException("unknown message type " + code, null);
			}
			expect(parser.nextToken() == JsonToken.START_ARRAY, "components of " + type);
			PeerMessage message = this.mapper.readValue(parser, type.messageClass());
			expect(parser.nextToken() == JsonToken.END_ARRAY, "end of message");
			return message;
		}
		catch (IOException | RuntimeException ex) {
			// The MessagePack parser throws runtime exceptions for some malformed input.
			throw new PeerException("malformed message: " + ex.getMessage(), ex);
		}
	}

	private void useArrayFormat(Class<?> type) {
		this.mapper.configOverride(type).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
	}

	private static void expect(boolean condition, String expected) throws PeerException {
		if (!condition) {
			throw new PeerException("malformed message: expected " + expected, null);
		}
	}

	/**
	 * A message and its encoded form.
	 *
	 * @param message the message
	 * @param bytes the encoded message
	 */
	private record EncodedMessage(PeerMessage message, byte[] bytes) {
	}

}
