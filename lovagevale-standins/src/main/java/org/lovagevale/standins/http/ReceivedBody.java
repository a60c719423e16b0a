package org.lovagevale.standins.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;

import io.netty.buffer.ByteBuf;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The length, the digest and the first bytes of a request or response body that was
 * received completely.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param length the length in bytes
 * @param sha256 the SHA-256 digest in hexadecimal digits
 * @param text the first bytes as UTF-8, at most {@link #MAX_TEXT_BYTES}
 */
public record ReceivedBody(long length, String sha256, String text) {

	/** The maximum number of bytes of a body that are kept as text. */
	public static final int MAX_TEXT_BYTES = 65_536;

	/**
	 * Reads a body to its end.
	 * @param chunks the chunks of the body; their publisher releases them
	 * @return the received body, emitted after the last chunk
	 */
	public static Mono<ReceivedBody> read(Flux<ByteBuf> chunks) {
		return Mono.defer(() -> {
			Collector collector = new Collector();
			return chunks.doOnNext(collector::add).then(Mono.fromSupplier(collector::toBody));
		});
	}

	/**
	 * Collects the chunks of one body.
	 */
	private static final class Collector {

		private final MessageDigest digest = Digests.sha256();

		private final ByteArrayOutputStream prefix = new ByteArrayOutputStream();

		private long length;

		private void add(ByteBuf chunk) {
			int size = chunk.readableBytes();
			this.digest.update(chunk.nioBuffer());
			int prefixLength = Math.min(size, MAX_TEXT_BYTES - this.prefix.size());
			if (prefixLength > 0) {
				byte[] bytes = new byte[prefixLength];
				chunk.getBytes(chunk.readerIndex(), bytes);
				this.prefix.writeBytes(bytes);
			}
			this.length += size;
		}

		private ReceivedBody toBody() {
			return new ReceivedBody(this.length, HexFormat.of().formatHex(this.digest.digest()),
					this.prefix.toString(StandardCharsets.UTF_8));
		}

	}

}
