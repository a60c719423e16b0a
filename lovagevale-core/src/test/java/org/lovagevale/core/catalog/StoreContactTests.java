package org.lovagevale.core.catalog;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an outage of the store that is overlooked, and against a time in which a
 * process was cut off that passes for one.
 */
class StoreContactTests {

	private static StoreContact contact(long since, long until) {
		return new StoreContact(0, since, until);
	}

	@Test
	void readsWithoutAnOutageBetweenThemAreOnePeriod() {
		StoreContact first = StoreContact.ofRead(5, 100, 120);
		StoreContact second = StoreContact.ofRead(6, 120 + Catalog.OUTAGE_THRESHOLD_MS - 40, 3_100);
		assertThat(first.join(second)).isEqualTo(contact(120, 3_080));
		assertThat(second.join(first)).isEqualTo(contact(120, 3_080));
	}

	@Test
	void readAfterAnOutageBeginsANewPeriod() {
		StoreContact back = StoreContact.ofRead(6, 5_000, 5_010);
		assertThat(contact(0, 1_000).join(back)).isEqualTo(back);
		assertThat(back.settledAt()).isEqualTo(5_010 + Catalog.REREGISTRATION_MS);
	}

	@Test
	void periodOfAnotherProcessSpansTheTimeInWhichThisOneWasCutOff() {
		StoreContact own = contact(0, 1_000).join(StoreContact.ofRead(6, 7_000, 7_005));
		assertThat(own.join(contact(200, 6_900)).since()).isEqualTo(200);
	}

	@Test
	void observationAtAnUnknownTimeAfterAPossibleOutageBeginsANewPeriod() {
		StoreContact observed = contact(11_050, 6_250);
		assertThat(contact(100, 7_000).join(observed)).isEqualTo(observed);
		assertThat(observed.join(contact(100, 7_000))).isEqualTo(observed);
	}

	@Test
	void restoreOfTheStoreBeginsANewPeriod() {
		StoreContact restored = new StoreContact(1, 900, 900);
		assertThat(contact(0, 1_000).join(restored)).isEqualTo(restored);
		assertThat(restored.join(contact(0, 2_000))).isEqualTo(restored);
	}

	@Property(seed = "20261207", tries = 500)
	void outageLongerThanTheThresholdIsNeverSpanned(@ForAll @LongRange(min = 0, max = 20_000) long down,
			@ForAll @LongRange(min = 1, max = 5_000) long margin,
			@ForAll @Size(min = 1, max = 8) List<@LongRange(min = 0, max = 50_000) Long> reads) {
		long back = down + Catalog.OUTAGE_THRESHOLD_MS + margin;
		StoreContact known = StoreContact.ofRead(1, down, down);
		for (long read : reads) {
			if (read <= down || read >= back) {
				known = known.join(StoreContact.ofRead(1, read, read));
			}
			assertThat(known.since() <= down && known.until() >= back).isFalse();
		}
	}

}
