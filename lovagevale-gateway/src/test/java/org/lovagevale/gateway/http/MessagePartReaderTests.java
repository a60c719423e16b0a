package org.lovagevale.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against unfinished heads and trailers that are kept as objects, against messages
 * without an end that are read on, and against parts that are lost between turns.
 */
class MessagePartReaderTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n";

	private final AtomicBoolean decodable = new AtomicBoolean(true);

	private final BackendResponseDecoder decoder = new BackendResponseDecoder(this.decodable::get);

	private final EmbeddedChannel channel = new EmbeddedChannel(this.decoder);

	@Test
	void headThatHasArrivedInPartIsKeptAsBytes() {
		send(HEAD + "a:b\r\n".repeat(100));
		assertThat(read()).isEmpty();
		assertThat(this.decoder.undecodedBytes()).isEqualTo(519);
		assertThat(this.decoder.partialHeadBytes()).isEqualTo(536);
		send("\r\nbody");
		assertThat(read()).containsExactly("head 200 101", "body", "end");
		assertThat(this.decoder.heldBytes()).isZero();
	}

	@Test
	void trailersThatHaveArrivedInPartAreKeptAsBytes() {
		send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + "a:b\r\n".repeat(20));
		assertThat(read()).containsExactly("head 200 1", "body");
		assertThat(this.decoder.undecodedBytes()).isEqualTo(100);
		send("\r\nHTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
		assertThat(read()).containsExactly("end", "head 404 1", "end");
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 7, 1_000 })
	void responsesInPiecesAreDecodedAsAWhole(int pieceBytes) {
		String all = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n b\r\n\r\n" + HEAD + "\r\nbody"
				+ "\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n00a;x=1\r\n0123456789\r\n1\r\n0\r\n000;y\r\n"
				+ "t: u\r\n\r\nHTTP/1.1 200 OK\r\n\r\nuntil the close";
		for (int i = 0; i < all.length(); i += pieceBytes) {
			send(all.substring(i, Math.min(all.length(), i + pieceBytes)));
		}
		this.channel.finish();
		List<String> parts = read();
		assertThat(String.join("|", parts).replace("|", ""))
			.isEqualTo("head 103 1endhead 200 1bodyendhead 200 1" + "0123456789" + "0endhead 200 0until the closeend");
	}

	@ParameterizedTest
	@ValueSource(strings = { "\r\n", "\n", "HTTP/1.1 200 OK\r\na\r\n", "a:b\r\n", "HTTP/1.1 200 OK\r\nA:b\r\n",
			"HTTP/1.1 100 Continue\r\na:\r\n b\r\n" })
	void repetitionWithoutAnEndIsNotReadOn(String text) {
		int sent = 0;
		boolean failed = false;
		while (!failed && sent < 200_000) {
			send(text.repeat(100));
			sent += 100 * text.length();
			failed = read().contains("failure");
		}
		assertThat(failed).isTrue();
		send(text.repeat(100));
		assertThat(read()).isEmpty();
		assertThat(this.decoder.heldBytes()).isZero();
	}

	@ParameterizedTest
	@ValueSource(strings = { "a:b\r\n", " b\r\n", "a: " })
	void trailersWithoutAnEndAreNotReadOn(String text) {
		send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na:b\r\n" + text.repeat(10_000));
		assertThat(read()).containsExactly("head 200 1", "failure");
		assertThat(this.decoder.heldBytes()).isZero();
	}

	@Test
	void bytesThatBeginNoResponseAreRejectedAtOnce() {
		send("<");
		assertThat(read()).containsExactly("failure");
	}

	@Test
	void manySmallPartsAreDecodedInSeveralTurns() throws Exception {
		int chunks = 10 * MessagePartReader.MAX_PARTS_PER_TURN;
		this.decoder.parts().beginTurn();
		send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(chunks) + "0\r\n\r\n");
		int turns = 1;
		List<String> parts = new ArrayList<>(read());
		while (this.decoder.parts().isSuspended()) {
			assertThat(parts).hasSizeLessThanOrEqualTo(turns * MessagePartReader.MAX_PARTS_PER_TURN);
			this.decoder.parts().beginTurn();
			this.decoder.decodeHeld(this.channel.pipeline().context(this.decoder));
			parts.addAll(read());
			turns++;
		}
		assertThat(turns).isGreaterThanOrEqualTo(10);
		assertThat(parts).hasSize(chunks + 2).endsWith("x", "end");
	}

	@Test
	void nothingIsDecodedWhileItCannotBeHandled() throws Exception {
		this.decodable.set(false);
		send(HEAD + "\r\nbody");
		assertThat(read()).isEmpty();
		assertThat(this.decoder.parts().isSuspended()).isTrue();
		this.decodable.set(true);
		this.decoder.parts().beginTurn();
		this.decoder.decodeHeld(this.channel.pipeline().context(this.decoder));
		assertThat(read()).containsExactly("head 200 1", "body", "end");
	}

	@Test
	void allIsDecodedWhenTheConnectionIsClosed() {
		this.decodable.set(false);
		send("HTTP/1.1 200 OK\r\n\r\nuntil the close");
		this.channel.finish();
		assertThat(read()).containsExactly("head 200 0", "until the close", "end");
	}

	private void send(String text) {
		this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
	}

	private List<String> read() {
		List<String> parts = new ArrayList<>();
		for (Object part = this.channel.readInbound(); part != null; part = this.channel.readInbound()) {
			if (((HttpObject) part).decoderResult().isFailure()) {
				parts.add("failure");
			}
			else {
				describe(part, parts);
			}
			ReferenceCountUtil.release(part);
		}
		return parts;
	}

	private static void describe(Object part, List<String> parts) {
		if (part instanceof HttpResponse head) {
			parts.add("head " + head.status().code() + " " + head.headers().size());
		}
		if (part instanceof HttpContent content && content.content().isReadable()) {
			parts.add(content.content().toString(StandardCharsets.US_ASCII));
		}
		if (part instanceof LastHttpContent) {
			parts.add("end");
		}
	}

}
