package org.lovagevale.gateway.http;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against heads that take more memory than they are accounted for.
 */
class HeldSizeTests {

	private static final String LONG_TEXT = "M".repeat(16_000);

	@Test
	void longMethodIsCounted() {
		DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, new HttpMethod(LONG_TEXT), "/");
		assertThat(HeldSize.ofHead(head)).isGreaterThanOrEqualTo(LONG_TEXT.length());
	}

	@Test
	void longReasonPhraseIsCounted() {
		DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
				new HttpResponseStatus(500, LONG_TEXT));
		assertThat(HeldSize.ofHead(head)).isGreaterThanOrEqualTo(LONG_TEXT.length());
	}

}
