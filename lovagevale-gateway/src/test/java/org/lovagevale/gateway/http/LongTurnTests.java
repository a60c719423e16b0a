package org.lovagevale.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.SystemClock;
import org.lovagevale.core.catalog.RequestLimits;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against heads with very many lines that are decoded before the event loop has
 * served other connections, or although their callers are gone.
 */
class LongTurnTests {

	private static final RequestLimits LIMITS = new RequestLimits(65_536, 1_000, 3_000, 15_000);

	private static final String MANY_LINES = "GET / HTTP/1.1\r\n" + "a:b\r\n".repeat(10_000) + "\r\n";

	private static final String FEW_LINES = "GET / HTTP/1.1\r\n" + "a:b\r\n".repeat(100) + "\r\n";

	private final StrictRequestDecoder decoder = new StrictRequestDecoder(() -> LIMITS, () -> true);

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final DecodingTurns turns = new DecodingTurns(StrictRequestDecoder.class,
			new TurnScheduler(this.channel.eventLoop(), new SystemClock()), (used) -> {
			});

	LongTurnTests() {
		this.channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {

			@Override
			public void handlerAdded(ChannelHandlerContext ctx) {
				LongTurnTests.this.turns.start(ctx);
			}

		}, this.decoder);
	}

	@Test
	void headWithFewLinesIsDecodedAtOnce() {
		send(FEW_LINES);
		assertThat(this.channel.<Object>readInbound()).isInstanceOf(HttpRequest.class);
	}

	@Test
	void headWithManyLinesIsDecodedLater() {
		send(MANY_LINES);
		assertThat(this.channel.<Object>readInbound()).isNull();
		assertThat(this.decoder.parts().isLongTurnNeeded()).isTrue();
		runScheduled();
		HttpRequest head = this.channel.readInbound();
		assertThat(head.headers().size()).isEqualTo(10_000);
	}

	@Test
	void headWithALongLineIsDecodedLater() {
		send("GET / HTTP/1.1\r\nConnection: a" + ",a".repeat(20_000) + "\r\n\r\n");
		assertThat(count()).isZero();
		runScheduled();
		assertThat(count()).isEqualTo(1);
	}

	@Test
	void eachTurnDecodesOneHeadWithManyLines() {
		send(MANY_LINES + MANY_LINES);
		runScheduled();
		assertThat(count()).isEqualTo(1);
		runScheduled();
		assertThat(count()).isEqualTo(1);
		runScheduled();
		assertThat(count()).isZero();
	}

	@Test
	void headOfACallerThatIsGoneIsNotDecoded() {
		send(MANY_LINES);
		this.channel.close();
		runScheduled();
		assertThat(count()).isZero();
	}

	private void send(String text) {
		this.turns.decode(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
	}

	// A turn waits for one millisecond.
	private void runScheduled() {
		this.channel.advanceTimeBy(200, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

	private int count() {
		int heads = 0;
		for (Object part = this.channel.readInbound(); part != null; part = this.channel.readInbound()) {
			// A connection that is closed before its head was decoded yields an invalid
			// one.
			heads += (part instanceof HttpRequest head && head.decoderResult().isSuccess()) ? 1 : 0;
		}
		return heads;
	}

}
