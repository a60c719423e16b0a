package org.lovagevale.gateway.http;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that run beside others although they have a body, change
 * something, or change or close their connection.
 */
class PipelinedHeadTests {

	private static HttpRequest head(String method) {
		return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), "/");
	}

	@ParameterizedTest
	@ValueSource(strings = { "GET", "HEAD", "OPTIONS" })
	void safeMethodsAreConcurrent(String method) {
		assertThat(PipelinedHead.isConcurrent(head(method))).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "POST", "PUT", "DELETE", "PATCH", "TRACE", "OTHER" })
	void otherMethodsAreNot(String method) {
		assertThat(PipelinedHead.isConcurrent(head(method))).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "Content-Length,5", "Content-Length,x", "Transfer-Encoding,chunked", "Connection,close",
			"Connection,Upgrade", "Upgrade,websocket", "Expect,100-continue" })
	void requestWithABodyOrAnEffectOnItsConnectionIsNotConcurrent(String name, String value) {
		HttpRequest head = head("GET");
		head.headers().set(name, value);
		if (value.equals("Upgrade")) {
			head.headers().set("Upgrade", "h2c");
		}
		assertThat(PipelinedHead.isConcurrent(head)).isFalse();
	}

	@Test
	void emptyBodyIsNoBody() {
		HttpRequest head = head("GET");
		head.headers().set("Content-Length", "0");
		assertThat(PipelinedHead.isConcurrent(head)).isTrue();
	}

	@Test
	void olderProtocolAndMalformedHeadAreNotConcurrent() {
		assertThat(PipelinedHead.isConcurrent(new DefaultHttpRequest(HttpVersion.HTTP_1_0, HttpMethod.GET, "/")))
			.isFalse();
		HttpRequest malformed = head("GET");
		malformed.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("malformed")));
		assertThat(PipelinedHead.isConcurrent(malformed)).isFalse();
	}

}
