package org.lovagevale.standins.http;

import java.security.MessageDigest;
import java.util.HexFormat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import reactor.core.publisher.Flux;

/**
 * A request or response body of any length, generated from a seed.
 *
 * <p>
 * Each byte depends on the seed and its position, so that lost, repeated or reordered
 * chunks change the digest. Immutable and thread-safe.
 *
 * @param seed the seed of the content
 * @param length the length in bytes, not negative
 */
public record GeneratedBody(long seed, long length) {

	/** The size of a chunk in bytes, a multiple of 8. */
	public static final int CHUNK_BYTES = 65_536;

	/**
	 * Checks the length.
	 * @throws IllegalArgumentException if the length is negative
	 */
	public GeneratedBody {
		if (length < 0) {
			throw new IllegalArgumentException("length must not be negative: " + length);
		}
	}

	/**
	 * Returns the body as chunks that are generated on demand.
	 * @return chunks of {@link #CHUNK_BYTES} bytes, of which the last may be shorter
	 */
	public Flux<ByteBuf> chunks() {
		return Flux.generate(() -> 0L, (offset, sink) -> {
			if (offset >= this.length) {
				sink.complete();
				return offset;
			}
			byte[] chunk = chunk(offset);
			sink.next(Unpooled.wrappedBuffer(chunk));
			return offset + chunk.length;
		});
	}

	/**
	 * Returns the SHA-256 digest of the whole body.
	 * @return the digest in hexadecimal digits
	 */
	public String sha256() {
		MessageDigest digest = Digests.sha256();
		for (long offset = 0; offset < this.length; offset += CHUNK_BYTES) {
			digest.update(chunk(offset));
		}
		return HexFormat.of().formatHex(digest.digest());
	}

	private byte[] chunk(long offset) {
		int size = (int) Math.min(CHUNK_BYTES, this.length - offset);
		byte[] bytes = new byte[size];
		for (int i = 0; i < size; i += Long.BYTES) {
			long word = mix(this.seed + offset + i);
			int end = Math.min(size, i + Long.BYTES);
			for (int j = i; j < end; j++) {
				bytes[j] = (byte) word;
				word >>>= Byte.SIZE;
			}
		}
		return bytes;
	}

	// The finalizer of SplitMix64, which maps adjacent inputs to unrelated outputs.
	private static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
		return mixed ^ (mixed >>> 31);
	}

}
