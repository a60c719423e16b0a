package org.lovagevale.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagevale.core.catalog.RequestLimits;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are lost or changed when a decoder is replaced, and
 * against decoders that keep the buffer of a large head.
 */
class StrictRequestDecoderTests {

	private static final RequestLimits LIMITS = new RequestLimits(16_384, 1_048_576, 3_000, 15_000);

	private static final String LARGE = "n".repeat(5_000);

	private static final String REQUESTS = "POST /1 HTTP/1.1\r\nHost: a\r\nX-Note: " + LARGE
			+ "\r\nContent-Length: 5\r\n\r\nfirstGET /2 HTTP/1.1\r\nHost: a\r\nX-Note: " + LARGE
			+ "\r\n\r\nPOST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nX-Note: " + LARGE
			+ "\r\n\r\n5\r\nthird\r\n0\r\n\r\nGET /4 HTTP/1.1\r\nHost: a\r\n\r\n";

	@ParameterizedTest
	@ValueSource(ints = { 1, 7, 4_999, 5_100, 1_000_000 })
	void pipelinedRequestsWithLargeHeadsArriveUnchanged(int readBytes) {
		EmbeddedChannel channel = new EmbeddedChannel(new StrictRequestDecoder(() -> LIMITS, () -> true));
		byte[] bytes = REQUESTS.getBytes(StandardCharsets.US_ASCII);
		for (int at = 0; at < bytes.length; at += readBytes) {
			channel.writeInbound(Unpooled.copiedBuffer(bytes, at, Math.min(readBytes, bytes.length - at)));
		}
		assertThat(describe(channel)).containsExactly("/1 5000", "first", "end", "/2 5000", "end", "/3 5000", "third",
				"end", "/4 0", "end");
		channel.finishAndReleaseAll();
	}

	@Test
	void decoderIsReplacedAfterALargeHeadOnly() {
		StrictRequestDecoder first = new StrictRequestDecoder(() -> LIMITS, () -> true);
		EmbeddedChannel channel = new EmbeddedChannel(first);
		channel.writeInbound(Unpooled.copiedBuffer("GET /4 HTTP/1.1\r\nHost: a\r\n\r\n", StandardCharsets.US_ASCII));
		assertThat(channel.pipeline().first()).isSameAs(first);
		channel.writeInbound(Unpooled.copiedBuffer(
				"POST /1 HTTP/1.1\r\nHost: a\r\nX-Note: " + LARGE + "\r\nContent-Length: 1\r\n\r\n",
				StandardCharsets.US_ASCII));
		assertThat(channel.pipeline().first()).isSameAs(first);
		channel.writeInbound(Unpooled.copiedBuffer("b", StandardCharsets.US_ASCII));
		assertThat(channel.pipeline().first()).isInstanceOf(StrictRequestDecoder.class).isNotSameAs(first);
		channel.finishAndReleaseAll();
	}

	private static List<String> describe(EmbeddedChannel channel) {
		List<String> parts = new ArrayList<>();
		StringBuilder body = new StringBuilder();
		for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
			if (part instanceof HttpRequest head) {
				assertThat(head.decoderResult().isSuccess()).isTrue();
				String note = head.headers().get("X-Note", "");
				parts.add(head.uri() + " " + note.length());
			}
			if (part instanceof HttpContent content) {
				body.append(content.content().toString(StandardCharsets.US_ASCII));
				content.release();
			}
			if (part instanceof LastHttpContent) {
				if (!body.isEmpty()) {
					parts.add(body.toString());
				}
				body.setLength(0);
				parts.add("end");
			}
		}
		return parts;
	}

}
