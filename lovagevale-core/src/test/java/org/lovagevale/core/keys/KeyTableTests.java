package org.lovagevale.core.keys;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.StoredAnswer;
import org.lovagevale.core.message.KeyArchive;
import org.lovagevale.settings.model.KeySettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against accepting an idempotency key twice, and against removing a key before it
 * expires.
 */
class KeyTableTests {

	private static final Fingerprint FINGERPRINT = new Fingerprint("aa");

	private static final AccountName ACCOUNT = new AccountName("designers");

	private static final ProcessIdentity SELF = new ProcessIdentity(new VmName("entry-01"), new Incarnation(1, 2));

	private final ManualClock clock = new ManualClock(0, 0);

	private final KeyTable table = createTable(new KeySettings(2, 1_000, 3, 4));

	@Test
	void repeatedKeyIsNeverAcceptedAgain() {
		IdempotencyKey key = key("a");
		assertThat(admit(key)).isInstanceOf(KeyVerdict.Accepted.class);
		assertRejected(key, RefusalReason.KEY_RUNNING, Outcome.RUNNING);
		this.table.recordUnknown(key);
		this.table.recordRan(key, null);
		assertRejected(key, RefusalReason.KEY_ENDED, Outcome.UNKNOWN);
		IdempotencyKey notRun = key("b");
		admit(notRun);
		this.table.recordNotRun(notRun);
		assertRejected(notRun, RefusalReason.KEY_ENDED, Outcome.NOT_RUN);
	}

	@Test
	void answerIsReplayedOnlyToTheSameRequest() {
		IdempotencyKey key = key("a");
		StoredAnswer answer = new StoredAnswer(200, "text/plain", new byte[4]);
		admit(key);
		this.table.recordRan(key, answer);
		assertThat(admit(key)).isEqualTo(new KeyVerdict.Answered(answer));
		assertThat(rejectionReason(this.table.admit(key, new Fingerprint("bb"), ACCOUNT)))
			.isEqualTo(RefusalReason.KEY_REUSED);
		assertThat(rejectionReason(this.table.admit(key, FINGERPRINT, null))).isEqualTo(RefusalReason.KEY_REUSED);
	}

	@Test
	void answerAboveTheSizeLimitIsNotStored() {
		IdempotencyKey key = key("a");
		admit(key);
		this.table.recordRan(key, new StoredAnswer(200, "", new byte[5]));
		assertRejected(key, RefusalReason.KEY_ENDED, Outcome.RAN);
	}

	@Test
	void fullTableSealsEpochInsteadOfRemovingKeys() {
		IdempotencyKey first = key("a");
		admit(first);
		admit(key("b"));
		IdempotencyKey refused = key("c");
		assertRejected(refused, RefusalReason.KEYS_FULL, Outcome.NOT_RUN);
		this.clock.advance(3_100);
		assertRejected(first, RefusalReason.KEY_EXPIRED, Outcome.UNKNOWN);
		assertThat(this.table.size()).isZero();
		assertThat(admit(refused)).isNotInstanceOf(KeyVerdict.Accepted.class);
		assertThat(admit(key("d"))).isInstanceOf(KeyVerdict.Accepted.class);
	}

	@Test
	void sealingManyEpochsDoesNotShortenRetention() {
		IdempotencyKey first = key("a");
		admit(first);
		admit(key("b"));
		for (int i = 0; i < 1_000; i++) {
			assertRejected(key("c" + i), RefusalReason.KEYS_FULL, Outcome.NOT_RUN);
		}
		this.clock.advance(2_900);
		assertRejected(first, RefusalReason.KEY_RUNNING, Outcome.RUNNING);
	}

	@Test
	void unseenKeyWhoseOutcomeWasQueriedCannotRun() {
		IdempotencyKey key = key("a");
		assertThat(this.table.resolveOutcome(key)).isEqualTo(Outcome.NOT_RUN);
		assertRejected(key, RefusalReason.KEY_ENDED, Outcome.NOT_RUN);
	}

	@Test
	void outcomeOfFutureExpiredAndForeignKeysIsUnknown() {
		IdempotencyKey future = new IdempotencyKey(SELF.vm(), SELF.incarnation(), 1, "a");
		assertRejected(future, RefusalReason.KEY_MALFORMED, Outcome.UNKNOWN);
		assertThat(this.table.resolveOutcome(future)).isEqualTo(Outcome.UNKNOWN);
		IdempotencyKey foreign = new IdempotencyKey(SELF.vm(), new Incarnation(0, 2), 0, "a");
		assertThat(admit(foreign)).isInstanceOf(KeyVerdict.OtherOwner.class);
		assertThat(this.table.resolveOutcome(foreign)).isEqualTo(Outcome.UNKNOWN);
		IdempotencyKey expired = key("b");
		this.clock.advance(4_100);
		assertThat(this.table.resolveOutcome(expired)).isEqualTo(Outcome.UNKNOWN);
	}

	@Test
	void expiredKeysStayExpiredIfEpochLengthChanges() {
		IdempotencyKey key = key("a");
		this.clock.advance(5_000);
		long epochBefore = this.table.currentEpoch();
		this.table.configure(new KeySettings(2, 60_000, 30, 4));
		assertThat(this.table.currentEpoch()).isGreaterThanOrEqualTo(epochBefore);
		assertRejected(key, RefusalReason.KEY_EXPIRED, Outcome.UNKNOWN);
	}

	@Test
	void archiveListsAllKeysThatMayHaveRun() {
		admit(key("old"));
		this.clock.advance(4_100);
		IdempotencyKey ran = key("ran");
		admit(ran);
		this.table.recordRan(ran, null);
		IdempotencyKey running = key("running");
		admit(running);
		KeyArchive archive = this.table.closeAndArchive(List.of("west"));
		assertThat(archive.ran()).containsExactly(ran.toString());
		assertThat(archive.unknown()).containsExactly(running.toString(),
				"entry-01.1-2.0." + KeyArchive.THIS_AND_EARLIER_EPOCHS);
		assertRejected(key("new"), RefusalReason.STOPPING, Outcome.NOT_RUN);
	}

	@Test
	void archiveFitsIntoOnePeerFrame() {
		KeyTable largeTable = createTable(new KeySettings(20_000, 1_000, 30, 4));
		for (int i = 0; i < 20_000; i++) {
			if (i % 1_000 == 0) {
				this.clock.advance(1_000);
			}
			String unique = "x".repeat(120) + i;
			largeTable.admit(new IdempotencyKey(SELF.vm(), SELF.incarnation(), largeTable.currentEpoch(), unique),
					FINGERPRINT, null);
		}
		KeyArchive archive = largeTable.closeAndArchive(List.of());
		// Each key follows a MessagePack string header of at most 5 bytes.
		int bytes = archive.unknown().stream().mapToInt((key) -> key.length() + 5).sum();
		assertThat(bytes).isBetween(KeyTable.MAX_ARCHIVED_KEY_BYTES / 2, KeyTable.MAX_ARCHIVED_KEY_BYTES + 100);
		assertThat(archive.unknown().getLast()).endsWith("." + KeyArchive.THIS_AND_EARLIER_EPOCHS);
	}

	private KeyTable createTable(KeySettings settings) {
		KeyTable created = new KeyTable(SELF, this.clock);
		created.configure(settings);
		return created;
	}

	private IdempotencyKey key(String unique) {
		return new IdempotencyKey(SELF.vm(), SELF.incarnation(), this.table.currentEpoch(), unique);
	}

	private KeyVerdict admit(IdempotencyKey key) {
		return this.table.admit(key, FINGERPRINT, ACCOUNT);
	}

	private void assertRejected(IdempotencyKey key, RefusalReason reason, Outcome outcome) {
		KeyVerdict verdict = admit(key);
		assertThat(rejectionReason(verdict)).isEqualTo(reason);
		assertThat(((KeyVerdict.Rejected) verdict).refusal().outcome()).isEqualTo(outcome);
	}

	private static RefusalReason rejectionReason(KeyVerdict verdict) {
		assertThat(verdict).isInstanceOf(KeyVerdict.Rejected.class);
		return ((KeyVerdict.Rejected) verdict).refusal().reason();
	}

}
