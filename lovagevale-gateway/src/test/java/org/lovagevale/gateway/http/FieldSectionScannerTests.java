package org.lovagevale.gateway.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against header sections that are read beyond their end or beyond their limits,
 * and against folded lines that cost more the longer they are.
 */
class FieldSectionScannerTests {

	private static final int MAX_BYTES = 1_000;

	private static final int MAX_LINES = 10;

	private static final int FOLDED_LINES = 1_000_000;

	private static final long FOLDING_LIMIT_MS = 5_000;

	private final FieldSectionScanner scanner = new FieldSectionScanner(MAX_BYTES, MAX_LINES);

	@ParameterizedTest
	@ValueSource(strings = { "a:b\r\n\r\n", "a:b\r\nc:d\r\n\r\n", "\r\n", "a:b\n\n", "a:\r\n b\r\n\tc\r\n\r\n", "\n" })
	void endOfASectionThatArrivesInPiecesIsFound(String section) {
		for (int pieceBytes = 1; pieceBytes <= section.length(); pieceBytes++) {
			this.scanner.reset();
			ByteBuf buffer = Unpooled.buffer();
			byte[] all = (section + "rest").getBytes(StandardCharsets.US_ASCII);
			int found = -1;
			for (int i = 0; i < all.length && found < 0; i += pieceBytes) {
				buffer.writeBytes(all, i, Math.min(pieceBytes, all.length - i));
				found = this.scanner.findEnd(buffer);
				assertThat(found >= 0).isEqualTo(buffer.readableBytes() >= section.length());
			}
			assertThat(found).isEqualTo(section.length());
			assertThat(buffer.readerIndex()).isZero();
			buffer.release();
		}
	}

	@Test
	void foldedLinesAreJoinedAndNothingElseIsChanged() {
		ByteBuf buffer = buffer("a: 1\r\n 2\r\n\t3\r\nb: 4\n 5\r\n\r\n x");
		assertThat(this.scanner.findEnd(buffer)).isEqualTo(buffer.readableBytes() - 2);
		assertThat(buffer.toString(StandardCharsets.US_ASCII)).isEqualTo("a: 1   2  \t3\r\nb: 4  5\r\n\r\n x");
		assertThat(this.scanner.lines()).isEqualTo(2);
	}

	@Test
	void blankAtTheBeginOfTheFirstLineIsLeftToTheDecoder() {
		ByteBuf buffer = buffer(" a: 1\r\n\r\n");
		assertThat(this.scanner.findEnd(buffer)).isEqualTo(9);
		assertThat(buffer.toString(StandardCharsets.US_ASCII)).isEqualTo(" a: 1\r\n\r\n");
	}

	@ParameterizedTest
	@CsvSource({ "1000, true", "1001, false" })
	void sectionsBeyondTheLimitAreRejectedWithoutTheirEnd(int bytes, boolean accepted) {
		ByteBuf line = buffer("a:" + "x".repeat(bytes - 2));
		if (accepted) {
			assertThat(this.scanner.findEnd(line)).isEqualTo(-1);
			assertThat(this.scanner.findEnd(line.writeBytes(buffer("\r\n\r\n")))).isEqualTo(bytes + 4);
			return;
		}
		assertThatThrownBy(() -> this.scanner.findEnd(line)).isInstanceOf(TooLongHttpHeaderException.class);
	}

	@Test
	void moreLinesThanAllowedAreRejected() {
		assertThat(this.scanner.findEnd(buffer("a:b\r\n".repeat(MAX_LINES)))).isEqualTo(-1);
		this.scanner.reset();
		assertThatThrownBy(() -> this.scanner.findEnd(buffer("a:b\r\n".repeat(MAX_LINES + 1))))
			.isInstanceOf(TooLongHttpHeaderException.class);
	}

	@Test
	void lineWithoutAColonIsRejectedBeforeTheEndOfTheSection() {
		assertThatThrownBy(() -> this.scanner.findEnd(buffer("a:b\r\nnothing\r\n")))
			.isInstanceOf(IllegalArgumentException.class);
	}

	@Test
	void costOfFoldedLinesGrowsWithTheirNumberOnly() {
		FieldSectionScanner large = new FieldSectionScanner(Integer.MAX_VALUE, MAX_LINES);
		ByteBuf buffer = buffer("a:b\r\n" + " c\r\n".repeat(FOLDED_LINES));
		long startedAt = System.nanoTime();
		assertThat(large.findEnd(buffer)).isEqualTo(-1);
		assertThat((System.nanoTime() - startedAt) / 1_000_000).isLessThan(FOLDING_LIMIT_MS);
	}

	private static ByteBuf buffer(String text) {
		return Unpooled.buffer().writeBytes(text.getBytes(StandardCharsets.US_ASCII));
	}

}
