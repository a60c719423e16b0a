package org.lovagevale.core.keys;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against keys that are not restored when their string form is parsed, and against
 * accepting malformed keys.
 */
class IdempotencyKeyTests {

	@Property(seed = "20261204", tries = 200)
	void parsesItsStringForm(@ForAll @LongRange(min = 0) long startEpochMillis,
			@ForAll @IntRange(min = Integer.MIN_VALUE) int salt, @ForAll @LongRange(min = 0) long epoch) {
		IdempotencyKey key = new IdempotencyKey(new VmName("entry-01"), new Incarnation(startEpochMillis, salt), epoch,
				"a_b-C");
		assertThat(IdempotencyKey.parse(key.toString())).isEqualTo(key);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "a", "a.b.c", "entry-01.1-2.3.", "entry-01.1-2.-3.x", "entry-01.12.3.x",
			"entry-01.1-2.3.x.y", "entry-01.1-2.3.x y", "Entry.1-2.3.x" })
	void rejectsMalformedKeys(String text) {
		assertThatIllegalArgumentException().isThrownBy(() -> IdempotencyKey.parse(text));
	}

}
