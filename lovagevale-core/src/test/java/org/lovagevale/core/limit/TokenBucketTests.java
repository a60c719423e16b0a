package org.lovagevale.core.limit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against tokens that a bucket creates by a change of its limits or of the time.
 */
class TokenBucketTests {

	@Test
	void tokensAreAddedAtTheRateUpToTheCapacity() {
		TokenBucket bucket = new TokenBucket(10, 5, 0, 1_000);
		assertThat(bucket.tryTake(1_000)).isFalse();
		assertThat(bucket.waitMs()).isEqualTo(100);
		assertThat(bucket.take(9, 1_250)).isEqualTo(2);
		assertThat(bucket.waitMs()).isEqualTo(50);
		assertThat(bucket.take(9, 60_000)).isEqualTo(5);
	}

	@Test
	void changeOfTheLimitsAddsNothing() {
		TokenBucket bucket = new TokenBucket(10, 5, 0, 0);
		bucket.setLimits(1_000, 100, 200);
		assertThat(bucket.take(100, 200)).isEqualTo(2);
		bucket.setLimits(10, 3, 300);
		assertThat(bucket.take(100, 300)).isEqualTo(3);
		assertThat(bucket.hasLimits(10, 3)).isTrue();
	}

	@Test
	void timeBeforeTheLastOperationAddsNothing() {
		TokenBucket bucket = new TokenBucket(10, 5, 5, 1_000);
		assertThat(bucket.take(5, 500)).isEqualTo(5);
		assertThat(bucket.take(5, 1_000)).isZero();
	}

}
