package org.lovagevale.base;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against log injection: a value with unescaped quotation marks, equals signs or
 * line breaks would add pairs or lines to the log.
 */
class LogLineTests {

	@Test
	void quotesAndEscapesSpecialCharacters() {
		String line = LogLine.event("settings.rejected")
			.with("version", 7)
			.with("reason", "line 3: a=\"b\"\nevent=forged\r")
			.with("empty", "")
			.toString();
		assertThat(line)
			.isEqualTo("event=settings.rejected version=7 reason=\"line 3: a=\\\"b\\\"\\nevent=forged?\" empty=\"\"");
	}

}
