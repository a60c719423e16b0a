package org.lovagevale.gateway.http;

import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against decoded heads that take more of the heap than they are accounted for.
 *
 * <p>
 * A head is decoded again and again, looked up and copied as when it is sent to a server,
 * and kept; the heap is measured before and afterwards.
 */
@Timeout(60)
class HeldMemoryTests {

	private static final int MAX_HEAD_BYTES = 65_536;

	/**
	 * Accounted size of what is kept; the heap of the tests has room for several times.
	 */
	private static final long HELD_BYTES = 24_000_000;

	/** Objects of the JVM and of other tests that come and go. */
	private static final long TOLERANCE_BYTES = 1_500_000;

	private static final String TOKEN_CHARS = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789!#$%&'*+-.^_`|~";

	@ParameterizedTest
	@ValueSource(strings = { "a:b\r\n", "a:\r\n", "a: \t\r\n", "Accept:*/*\r\n", "X-Forwarded-For: 1\r\n",
			"Cookie: a\r\n", "abcdefgh: 12345678\r\n", "a:b\r\n b\r\n" })
	void identicalLinesTakeNoMoreThanTheyAreAccountedFor(String line) {
		assertHeldAsAccounted(line.repeat(60_000 / line.length()));
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void generatedLinesTakeNoMoreThanTheyAreAccountedFor(long seed) {
		Random random = new Random(seed);
		int maxNameChars = 1 + random.nextInt(20);
		int maxValueChars = random.nextInt(30);
		StringBuilder lines = new StringBuilder();
		while (lines.length() < 60_000) {
			appendToken(lines, random, 1 + random.nextInt(maxNameChars));
			lines.append(random.nextBoolean() ? ":" : ": \t");
			appendToken(lines, random, random.nextInt(1 + maxValueChars));
			lines.append("\r\n");
		}
		assertHeldAsAccounted(lines.toString());
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 10 })
	void ordinaryHeadTakesNoMoreThanItIsAccountedFor(int lines) {
		assertHeldAsAccounted("Accept: text/html\r\nUser-Agent: test\r\nX-Request-Id: 123456\r\n".repeat(lines));
	}

	private static void appendToken(StringBuilder text, Random random, int chars) {
		for (int i = 0; i < chars; i++) {
			text.append(TOKEN_CHARS.charAt(random.nextInt(TOKEN_CHARS.length())));
		}
	}

	private static void assertHeldAsAccounted(String lines) {
		byte[] bytes = ("GET /a HTTP/1.1\r\nHost: a.example\r\n" + lines + "\r\n").getBytes(StandardCharsets.US_ASCII);
		// The first decoding loads classes.
		use(decode(bytes));
		List<HttpRequest> held = new ArrayList<>();
		long before = heapBytes();
		long accounted = 0;
		while (accounted < HELD_BYTES) {
			HttpRequest head = decode(bytes);
			use(head);
			accounted += HeldSize.ofHead(head);
			held.add(head);
		}
		long taken = heapBytes() - before;
		System.out.println("event=test.held heads=" + held.size() + " accounted=" + accounted + " taken=" + taken);
		assertThat(taken).as("%d heads", held.size()).isLessThan(accounted + TOLERANCE_BYTES);
		assertThat(held).isNotEmpty();
	}

	private static HttpRequest decode(byte[] bytes) {
		EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestDecoder(
				new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES).setMaxInitialLineLength(MAX_HEAD_BYTES)));
		channel.writeInbound(Unpooled.wrappedBuffer(bytes));
		HttpRequest head = channel.readInbound();
		assertThat(head.decoderResult().isSuccess()).isTrue();
		ReferenceCountUtil.release(channel.readInbound());
		channel.finishAndReleaseAll();
		return head;
	}

	private static void use(HttpRequest head) {
		assertThat(head.headers().get(HttpHeaderNames.HOST)).isEqualTo("a.example");
		HopByHopHeaders.copyWithout(head.headers(), (name) -> name.equals("expect"));
	}

	private static long heapBytes() {
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

}
