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
 * The body may be added in chunks of any size. Not thread-safe.
 */
final class FingerprintBuilder {

	private final MessageDigest digest;

	private int prefixBytesLeft;

	FingerprintBuilder(RequestHead head, int prefixBytes) {
		this.digest = newDigest();
		this.prefixBytesLeft = prefixBytes;
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
			throw new IllegalStateException("the Java platform lacks SHA-256", ex);
		}
	}

	// Each text is preceded by its length, so that different heads cannot produce the
	// same digest input.
	private void add(String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		this.digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
		this.digest.update(bytes);
	}

	void addBody(ByteBuf chunk) {
		int count = Math.min(this.prefixBytesLeft, chunk.readableBytes());
		if (count > 0) {
			this.digest.update(chunk.nioBuffer(chunk.readerIndex(), count));
			this.prefixBytesLeft -= count;
		}
	}

	boolean isPrefixComplete() {
		return this.prefixBytesLeft == 0;
	}

	Fingerprint build() {
		return new Fingerprint(HexFormat.of().formatHex(this.digest.digest()));
	}

}
