package org.lovagevale.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against connections that are read on although nothing is to be read from them.
 */
class PausedReadTests {

	@Test
	void headThatHasArrivedInPartIsNotReadOnWhileReadingIsPaused() {
		AtomicInteger reads = new AtomicInteger();
		EmbeddedChannel channel = new EmbeddedChannel(new ChannelOutboundHandlerAdapter() {

			@Override
			public void read(ChannelHandlerContext ctx) {
				reads.incrementAndGet();
			}

		}, new ReadGate(), new BackendResponseDecoder(() -> true));
		channel.config().setAutoRead(false);
		reads.set(0);
		channel.writeInbound(Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\na:b\r\n", StandardCharsets.US_ASCII));
		assertThat(reads).hasValue(0);
		channel.config().setAutoRead(true);
		assertThat(reads).hasValue(1);
		channel.finishAndReleaseAll();
	}

}
