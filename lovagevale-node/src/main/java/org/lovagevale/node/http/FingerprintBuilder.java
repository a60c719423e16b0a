package org.lovagevale.node.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import io.netty.buffer.ByteBuf;
import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.RequestHead;

/**
 * Computes the fingerprint of a request from its head and the first bytes of its body.
 *
 * <p>
 * The bytes may come in any pieces. Not thread-safe.
 */
final class FingerprintBuilder {

	private final MessageDigest digest;

	private int bytesLeft;

	FingerprintBuilder(RequestHead head, int prefixBytes) {
		this.digest = newDigest();
		this.bytesLeft = prefixBytes;
		add((head.account() != null) ? head.account().value() : "");
		add(head.method());
		add(head.path());
		add(head.query());
		this.digest.update(ByteBuffer.allocate(Long.BYTES).putLong(head.contentLength()).flip());
	}

	private static MessageDigest newDigest() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

	// The length before each text keeps different heads from giving the same input.
	private void add(String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		this.digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
		this.digest.update(bytes);
	}

	void addBody(ByteBuf chunk) {
		int count = Math.min(this.bytesLeft, chunk.readableBytes());
		if (count > 0) {
			this.digest.update(chunk.nioBuffer(chunk.readerIndex(), count));
			this.bytesLeft -= count;
		}
	}

	boolean isPrefixComplete() {
		return this.bytesLeft == 0;
	}

	Fingerprint build() {
		return new Fingerprint(HexFormat.of().formatHex(this.digest.digest()));
	}

}
