package org.lovagevale.core.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.lovagevale.base.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are accepted beyond the limit, against bytes that stay
 * accounted after their request has ended, and against large unfinished messages that
 * keep small ones from being read.
 */
class MemoryAccountTests {

	private static final long LIMIT_BYTES = 1_000_000;

	private static final int MAX_REQUEST_BYTES = 100_000;

	private static final int STEPS = 500;

	private final ManualClock clock = new ManualClock(1_000, 0);

	private final MemoryAccount account = new MemoryAccount(this.clock, LIMIT_BYTES);

	@Property(seed = "20261205", tries = 500)
	void acceptedRequestsNeverExceedTheLimitAndReleaseAllTheyHold(@ForAll long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		MemoryAccount accepting = new MemoryAccount(this.clock, LIMIT_BYTES);
		List<MemoryReservation> held = new ArrayList<>();
		for (int i = 0; i < STEPS; i++) {
			int bytes = random.nextInt(1, MAX_REQUEST_BYTES);
			if (random.nextInt(3) > 0 && accepting.accepts(bytes, random.nextInt(3))) {
				held.add(accepting.reserve(HeldKind.values()[random.nextInt(2)], bytes));
			}
			else if (!held.isEmpty()) {
				MemoryReservation ended = held.remove(random.nextInt(held.size()));
				ended.release();
				ended.resize(bytes);
				ended.release();
			}
			long sum = held.stream().mapToLong(MemoryReservation::bytes).sum();
			assertThat(accepting.heldBytes()).isEqualTo(sum).isLessThanOrEqualTo(LIMIT_BYTES);
		}
		held.forEach(MemoryReservation::release);
		assertThat(accepting.heldBytes()).isZero();
		for (HeldKind kind : HeldKind.values()) {
			assertThat(accepting.heldBytes(kind)).isZero();
		}
	}

	@Property(seed = "20261205", tries = 500)
	void unannouncedBytesExceedTheLimitOnlyByOneReadEach(@ForAll long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		MemoryAccount reading = new MemoryAccount(this.clock, LIMIT_BYTES);
		MemoryReservation body = reading.reserve(HeldKind.REQUEST_BODY, 0);
		int readBytes = 0;
		for (int i = 0; i < STEPS && !reading.isFull(); i++) {
			readBytes = random.nextInt(1, MAX_REQUEST_BYTES);
			body.resize(body.bytes() + readBytes);
		}
		assertThat(reading.heldBytes()).isLessThan(LIMIT_BYTES + readBytes);
		body.release();
		assertThat(reading.isFull()).isFalse();
	}

	@Example
	void smallRequestsAreAcceptedWhileLargeOnesAreRejected() {
		while (this.account.accepts(MAX_REQUEST_BYTES, 0)) {
			this.account.reserve(HeldKind.REQUEST_BODY, MAX_REQUEST_BYTES);
		}
		assertThat(this.account.accepts(1_000, 0)).isTrue();
	}

	@Example
	void largeRequestsOfLowerPriorityAreRejectedFirst() {
		while (this.account.accepts(MAX_REQUEST_BYTES, 1)) {
			this.account.reserve(HeldKind.REQUEST_BODY, MAX_REQUEST_BYTES);
		}
		assertThat(this.account.accepts(MAX_REQUEST_BYTES, 0)).isTrue();
	}

	@Example
	void retryDelayFollowsTheTimeForWhichRequestsHoldTheirBytes() {
		for (int i = 0; i < 200; i++) {
			MemoryReservation body = this.account.reserve(HeldKind.REQUEST_BODY, 1_000);
			this.clock.advance(1_500);
			body.release();
		}
		assertThat(this.account.retryAfterMs()).isBetween(1_400, 1_500);
	}

	@Property(seed = "20261206", tries = 500)
	void evictionKeepsTheLimitAndTheSmallReservations(@ForAll long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		MemoryAccount evicting = new MemoryAccount(this.clock, LIMIT_BYTES);
		List<MemoryReservation> small = new ArrayList<>();
		for (int i = 0; i < STEPS; i++) {
			MemoryReservation held = evicting.reserveEvictable(HeldKind.values()[random.nextInt(4)], () -> {
			});
			boolean large = random.nextInt(3) > 0;
			held.resize(large ? random.nextInt(2_000, MAX_REQUEST_BYTES) : 1_000);
			if (!large) {
				small.add(held);
			}
			evicting.evictExcess();
			assertThat(evicting.heldBytes()).isLessThan(LIMIT_BYTES);
		}
		assertThat(small).allMatch((held) -> held.bytes() == 1_000);
	}

	@Example
	void requestIsAcceptedInPlaceOfWhatCanBeEvicted() {
		this.account.reserveEvictable(HeldKind.REQUEST_HEAD, () -> {
		}).resize(LIMIT_BYTES - 1);
		assertThat(this.account.accepts(1_000, 0)).isTrue();
		assertThat(this.account.keptBytes()).isZero();
		this.account.reserve(HeldKind.REQUEST_HEAD, LIMIT_BYTES - 1);
		assertThat(this.account.keptBytes()).isEqualTo(LIMIT_BYTES - 1);
		assertThat(this.account.accepts(1_000, 0)).isFalse();
	}

	@Example
	void reservationsThatCannotBeEvictedAreKept() {
		MemoryReservation body = this.account.reserve(HeldKind.REQUEST_BODY, LIMIT_BYTES);
		List<String> evicted = new ArrayList<>();
		MemoryReservation head = this.account.reserveEvictable(HeldKind.REQUEST_HEAD, () -> evicted.add("head"));
		head.resize(10);
		assertThat(this.account.evictExcess()).isEqualTo(1);
		assertThat(evicted).containsExactly("head");
		assertThat(head.bytes()).isZero();
		assertThat(body.bytes()).isEqualTo(LIMIT_BYTES);
		assertThat(this.account.evictExcess()).isZero();
	}

	@Example
	void smallReservationsAreKeptWhereTheyDoNotFillTheAccount() {
		MemoryAccount keeping = new MemoryAccount(this.clock, LIMIT_BYTES, LIMIT_BYTES / 4);
		keeping.reserve(HeldKind.RESPONSE_BODY, LIMIT_BYTES);
		List<MemoryReservation> small = new ArrayList<>();
		for (int i = 0; i < 100; i++) {
			small.add(keeping.reserveEvictable(HeldKind.RESPONSE_HEAD, () -> {
			}));
			small.getLast().resize(1_000);
		}
		MemoryReservation large = keeping.reserveEvictable(HeldKind.RESPONSE_HEAD, () -> {
		});
		large.resize(LIMIT_BYTES / 4);
		assertThat(keeping.evictExcess()).isEqualTo(1);
		assertThat(large.bytes()).isZero();
		assertThat(small).allMatch((held) -> held.bytes() == 1_000);
	}

	@Example
	void evictionsThatEvictAgainAreNotNested() {
		int[] depth = new int[2];
		for (int i = 0; i < 1_000; i++) {
			this.account.reserveEvictable(HeldKind.REQUEST_HEAD, () -> {
				depth[1] = Math.max(depth[1], ++depth[0]);
				this.account.evictExcess();
				depth[0]--;
			}).resize(LIMIT_BYTES / 1_000);
		}
		this.account.reserve(HeldKind.REQUEST_BODY, LIMIT_BYTES / 2);
		this.account.evictExcess();
		assertThat(this.account.heldBytes()).isLessThanOrEqualTo(LIMIT_BYTES);
		assertThat(depth[1]).isEqualTo(1);
	}

}
