package org.lovagevale.base;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against names that are too long or contain characters that would break
 * idempotency keys, log lines or paths in the settings tree.
 */
class NamesTests {

	@ParameterizedTest
	@ValueSource(strings = { "", "-a", "A", "a.b", "a b", "a/b", "ä" })
	void rejectsInvalidNames(String text) {
		assertThatIllegalArgumentException().isThrownBy(() -> new VmName(text))
			.withMessageContaining("invalid VM name");
	}

	@Test
	void acceptsLettersDigitsAndHyphens() {
		assertThat(new ServerName("transfers-01").value()).isEqualTo("transfers-01");
	}

	@Test
	void rejectsNamesLongerThan63Characters() {
		assertThat(Names.isValid("a".repeat(63))).isTrue();
		assertThat(Names.isValid("a".repeat(64))).isFalse();
	}

}
