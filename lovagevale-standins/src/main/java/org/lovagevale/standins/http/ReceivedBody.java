package org.lovagevale.standins.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;

import io.netty.buffer.ByteBuf;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * A body that was received completely: its length, its digest and its first bytes.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param length the length in bytes
 * @param sha256 the SHA-256 digest in hexadecimal digits
 * @param text the first bytes as UTF-8, at most {@link #KEPT_BYTES}
 */
public record ReceivedBody(long length, String sha256, String text) {

	/** Bytes of a body that are kept as text. */
	public static final int KEPT_BYTES = 65_536;

	/**
	 * Reads a body without keeping more than its first bytes.
	 * @param chunks the chunks; they are released by their publisher
	 * @return the body, when the last chunk has arrived
	 */
	public static Mono<ReceivedBody> read(Flux<ByteBuf> chunks) {
		return Mono.defer(() -> {
			Reader reader = new Reader();
			return chunks.doOnNext(reader::add).then(Mono.fromSupplier(reader::toBody));
		});
	}

	/**
	 * Collects the chunks of one body.
	 */
	private static final class Reader {

		private final MessageDigest digest = Digests.sha256();

		private final ByteArrayOutputStream kept = new ByteArrayOutputStream();

		private long length;

		private void add(ByteBuf chunk) {
			int size = chunk.readableBytes();
			this.digest.update(chunk.nioBuffer());
			int room = Math.min(size, KEPT_BYTES - this.kept.size());
			if (room > 0) {
				byte[] bytes = new byte[room];
				chunk.getBytes(chunk.readerIndex(), bytes);
				this.kept.writeBytes(bytes);
			}
			this.length += size;
		}

		private ReceivedBody toBody() {
			return new ReceivedBody(this.length, HexFormat.of().formatHex(this.digest.digest()),
					this.kept.toString(StandardCharsets.UTF_8));
		}

	}

}
