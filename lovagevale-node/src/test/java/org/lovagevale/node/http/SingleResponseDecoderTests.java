package org.lovagevale.node.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against status codes that do not exist and are passed on to callers.
 */
class SingleResponseDecoderTests {

	private static final int MAX_HEAD_BYTES = 4_096;

	private static HttpResponse decode(String code) {
		SingleResponseDecoder decoder = new SingleResponseDecoder(MAX_HEAD_BYTES);
		decoder.expectResponse(HttpMethod.GET);
		EmbeddedChannel channel = new EmbeddedChannel(decoder);
		channel.writeInbound(Unpooled.copiedBuffer("HTTP/1.1 " + code + " x\r\nContent-Length: 0\r\n\r\n",
				StandardCharsets.US_ASCII));
		return channel.readInbound();
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "999", "1000", "20", "-1", "2OO" })
	void codeThatDoesNotExistIsRefused(String code) {
		assertThat(decode(code).decoderResult().isFailure()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "200", "204", "404", "599" })
	void codeThatExistsIsAccepted(String code) {
		assertThat(decode(code).decoderResult().isSuccess()).isTrue();
	}

}
