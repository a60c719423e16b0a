package org.lovagevale.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.regex.Pattern;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;
import org.lovagevale.core.catalog.RequestLimits;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against messages whose parts end elsewhere than the decoder behind takes them
 * to, which would make a part of a body a message of its own.
 */
class DecoderAgreementTests {

	private static final String[] FIRST_LINES = { "GET /a HTTP/1.1\r\n", "POST /b HTTP/1.0\r\n", "HEAD / HTTP/1.1\n",
			"GET\r\n", "\u007f\nPOST /c:d HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 204 No Content\r\n",
			"HTTP/1.1 304 Not Modified\r\n", "HTTP/1.1 100 Continue\r\n", "HTTP/1.1 103 Early: Hints\r\n",
			"HTTP/1.0 200 OK\r\n", "HTTP/1.1 200\n", "HTTP/1.1\r\n" };

	private static final String[] HEADERS = { "Content-Length: 3\r\n", "Content-Length: 0\r\n", "Content-Length: 3\n",
			"Transfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\n ;x\r\n",
			"Transfer-Encoding : chunked\r\n", " Transfer-Encoding: chunked\r\n",
			"Transfer-Encoding: gzip, chunked\r\n", "a: b\r\n c\r\n", "a: b\r\n \r\n", "a: b\r\n\r \r\n", "a: b\r\r\n",
			"a:\u0000\r\n", "\u0000a: b\r\n", ":\r\n", "a\r\n", "X: 1\n\r\n", "Sec-WebSocket-Key1: x\r\n" };

	private static final String[] BODIES = { "abc", "3\r\nabc\r\n", "0\r\n", "0\r\n\r\n", "00;x=y\r\n\r\n",
			"0 \t;x\r\n", "0\n", "0x3\r\n", "000000\r\n", "a\r\n0123456789\r\n", "3\r\nabc0\r\n", "3\r\nabc\r0\r\n",
			"\r\n0\r\n", " 0\r\n", "-0\r\n", "0;\r\r\n", "t: u\r\n", "t: u\r\n v\r\n", "\r\n", "\n", "0\r\n\n",
			"0\r\n \r\n\r\n" };

	private static final Pattern EMPTY_AND_FOLDED = Pattern.compile(":\\s*\r\n[ \t]");

	private static final long FIRST_SEED = 20_261_206;

	private static final int SEQUENCES = Integer.getInteger("lovagevale.decoder.sequences", 20_000);

	private static final String ALPHABET = "0013aA:; \t\r\n\r\n\r\nGHT/.\u0000\u007f\u0085";

	@Test
	void requestsEndWhereTheDecoderBehindEndsThem() {
		RequestLimits limits = new RequestLimits(8_192, 100_000, 400, 3_000);
		for (long seed = FIRST_SEED; seed < FIRST_SEED + SEQUENCES; seed++) {
			check(seed, new StrictRequestDecoder(() -> limits, () -> true), new PlainRequestDecoder(), true);
		}
	}

	@Test
	void responsesEndWhereTheDecoderBehindEndsThem() {
		for (long seed = FIRST_SEED; seed < FIRST_SEED + SEQUENCES; seed++) {
			boolean head = seed % 4 == 0;
			BackendResponseDecoder decoder = new BackendResponseDecoder(() -> true);
			decoder.expectResponseTo(head);
			check(seed, decoder, new PlainResponseDecoder(head), false);
		}
	}

	private static void check(long seed, ChannelHandler partDecoder, ChannelHandler plain, boolean requests) {
		SplittableRandom random = new SplittableRandom(seed);
		String text = generate(random, requests);
		if (EMPTY_AND_FOLDED.matcher(text).find()) {
			// The decoder behind does not take it, though it is valid.
			return;
		}
		List<String> expected = decode(plain, List.of(text));
		List<String> actual = decode(partDecoder, split(text, random));
		int rejected = expected.indexOf("failure");
		String accepted = String.join("", (rejected < 0) ? expected : expected.subList(0, rejected));
		if (actual.contains("failure")) {
			// What is rejected may be rejected at an earlier part.
			String before = String.join("", actual.subList(0, actual.indexOf("failure")));
			assertThat(accepted).as("seed %d: %s", seed, text).startsWith(before);
		}
		else {
			// A line is rejected once its section has arrived.
			assertThat(String.join("", actual)).as("seed %d: %s", seed, text).isEqualTo(accepted);
		}
	}

	private static String generate(SplittableRandom random, boolean requests) {
		StringBuilder text = new StringBuilder();
		int messages = random.nextInt(1, (random.nextInt(5) == 0) ? 30 : 4);
		for (int i = 0; i < messages; i++) {
			text.append(requests ? FIRST_LINES[random.nextInt(5)] : FIRST_LINES[random.nextInt(5, FIRST_LINES.length)]);
			append(text, HEADERS, random.nextInt(4), random);
			text.append((random.nextInt(12) == 0) ? "\n" : "\r\n");
			append(text, BODIES, random.nextInt(5), random);
		}
		for (int changes = random.nextInt(12) - 9; changes > 0; changes--) {
			int at = random.nextInt(text.length());
			char symbol = ALPHABET.charAt(random.nextInt(ALPHABET.length()));
			switch (random.nextInt(3)) {
				case 0 -> text.setCharAt(at, symbol);
				case 1 -> text.insert(at, symbol);
				default -> text.deleteCharAt(at).append(symbol);
			}
		}
		return text.toString();
	}

	private static void append(StringBuilder text, String[] parts, int count, SplittableRandom random) {
		for (int i = 0; i < count; i++) {
			text.append(parts[random.nextInt(parts.length)]);
		}
	}

	private static List<String> split(String text, SplittableRandom random) {
		List<String> pieces = new ArrayList<>();
		int maxBytes = random.nextInt(1, (random.nextInt(3) == 0) ? 2_000 : 40);
		int begin = 0;
		while (begin < text.length()) {
			int end = Math.min(text.length(), begin + random.nextInt(1, maxBytes + 1));
			pieces.add(text.substring(begin, end));
			begin = end;
		}
		return pieces;
	}

	private static List<String> decode(ChannelHandler decoder, List<String> pieces) {
		EmbeddedChannel channel = new EmbeddedChannel(decoder);
		for (String piece : pieces) {
			PartDecoder parts = partDecoder(channel);
			if (parts != null) {
				parts.parts().beginTurn();
			}
			channel.writeInbound(Unpooled.copiedBuffer(piece, StandardCharsets.ISO_8859_1));
			decodeHeld(channel);
		}
		List<String> parts = new ArrayList<>();
		for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
			describe(part, parts);
			ReferenceCountUtil.release(part);
		}
		channel.finishAndReleaseAll();
		return parts;
	}

	private static void decodeHeld(EmbeddedChannel channel) {
		try {
			for (PartDecoder parts = partDecoder(channel); parts != null
					&& parts.parts().isSuspended(); parts = partDecoder(channel)) {
				parts.parts().beginTurn();
				parts.decodeHeld(channel.pipeline().firstContext());
			}
		}
		catch (Exception ex) {
			throw new IllegalStateException("suspended bytes could not be decoded", ex);
		}
	}

	private static PartDecoder partDecoder(EmbeddedChannel channel) {
		return (channel.pipeline().first() instanceof PartDecoder decoder) ? decoder : null;
	}

	private static void describe(Object part, List<String> parts) {
		if (!(part instanceof HttpObject object) || object.decoderResult().isFailure()) {
			parts.add("failure");
			return;
		}
		if (part instanceof HttpMessage head) {
			parts.add("<head " + firstLine(head) + fields(head.headers().entries()) + ">");
		}
		if (part instanceof HttpContent content) {
			parts.add(content.content().toString(StandardCharsets.ISO_8859_1));
		}
		if (part instanceof LastHttpContent last) {
			parts.add("<end" + fields(last.trailingHeaders().entries()) + ">");
		}
	}

	private static String firstLine(HttpMessage head) {
		return (head instanceof HttpRequest request) ? request.method() + " " + request.uri()
				: String.valueOf(((HttpResponse) head).status());
	}

	private static String fields(List<Map.Entry<String, String>> fields) {
		StringBuilder text = new StringBuilder();
		fields.forEach((field) -> text.append('|')
			.append(field.getKey())
			.append('=')
			.append(field.getValue().strip().replaceAll("[ \t]+", " ")));
		return text.toString();
	}

	/**
	 * The decoder of requests without the reader of parts.
	 */
	private static final class PlainRequestDecoder extends HttpRequestDecoder {

		private PlainRequestDecoder() {
			super(new HttpDecoderConfig().setMaxHeaderSize(8_192).setAllowDuplicateContentLengths(false));
		}

		@Override
		protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
			throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
		}

	}

	/**
	 * The decoder of responses without the reader of parts.
	 */
	private static final class PlainResponseDecoder extends HttpResponseDecoder {

		private final boolean responseToHead;

		private PlainResponseDecoder(boolean responseToHead) {
			super(new HttpDecoderConfig().setMaxHeaderSize(65_536).setAllowDuplicateContentLengths(false));
			this.responseToHead = responseToHead;
		}

		@Override
		protected boolean isContentAlwaysEmpty(HttpMessage message) {
			return this.responseToHead || super.isContentAlwaysEmpty(message);
		}

		@Override
		protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
			throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
		}

	}

}
