package org.lovagevale.core.keys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.Histories;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.settings.model.KeySettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against accepting a key twice, and against accepting a key that was reported as
 * not run or reporting an accepted key as not run. In random histories, requests are
 * lost, delayed and repeated, and processes are paused and restarted.
 */
class KeyHistoryTests {

	private static final int STEPS_PER_HISTORY = 1_000;

	@Property(seed = "20261204", tries = 1_000)
	void keyIsAcceptedAtMostOnceAndNeverAfterItWasReportedAsNotRun(@ForAll long seed) {
		Histories.run(seed, (historySeed) -> new History(historySeed).run());
	}

	/**
	 * A random history of three processes and a caller that sends its keys to any of
	 * them.
	 */
	private static final class History {

		private final SplittableRandom random;

		private final List<EntryProcess> processes = new ArrayList<>();

		private final List<IdempotencyKey> keys = new ArrayList<>();

		private final List<IdempotencyKey> inFlight = new ArrayList<>();

		private final Map<IdempotencyKey, Outcome> reportedOutcomes = new HashMap<>();

		private final Set<IdempotencyKey> acceptedKeys = new HashSet<>();

		History(long seed) {
			this.random = new SplittableRandom(seed);
			for (int i = 0; i < 3; i++) {
				this.processes.add(new EntryProcess(i, 0));
			}
		}

		void run() {
			for (int i = 0; i < STEPS_PER_HISTORY; i++) {
				step();
			}
		}

		private void step() {
			EntryProcess process = this.processes.get(this.random.nextInt(3));
			switch (this.random.nextInt(12)) {
				case 0, 1 -> sendNewKey(process);
				case 2, 3 -> resendKey();
				case 4, 5, 6 -> deliverKey(process);
				case 7 -> process.endRandomRequest(this.random);
				case 8 -> process.clock.advance(this.random.nextInt(700));
				case 9 -> queryOutcome();
				case 10 -> withLowProbability(() -> process.clock.advance(5_000));
				default -> withLowProbability(() -> restart(process));
			}
		}

		private void withLowProbability(Runnable action) {
			if (this.random.nextInt(6) == 0) {
				action.run();
			}
		}

		private void sendNewKey(EntryProcess process) {
			long epoch = process.table.currentEpoch() + ((this.random.nextInt(10) == 0) ? 1 : 0);
			IdempotencyKey key = new IdempotencyKey(process.self.vm(), process.self.incarnation(), epoch,
					"k" + this.keys.size());
			this.keys.add(key);
			this.inFlight.add(key);
		}

		private void resendKey() {
			if (!this.keys.isEmpty()) {
				this.inFlight.add(this.keys.get(this.random.nextInt(this.keys.size())));
			}
		}

		private void deliverKey(EntryProcess process) {
			if (this.inFlight.isEmpty()) {
				return;
			}
			IdempotencyKey key = this.inFlight.get(this.random.nextInt(this.inFlight.size()));
			if (this.random.nextInt(4) > 0) {
				this.inFlight.remove(key);
			}
			// Usually, a caller sends a key to the VM that the key names.
			EntryProcess target = (this.random.nextInt(4) > 0) ? processOnVmOf(key) : process;
			KeyVerdict verdict = target.table.admit(key, new Fingerprint(key.unique()), null);
			if (verdict instanceof KeyVerdict.Accepted) {
				checkAndRecordAcceptance(target, key);
			}
			else if (verdict instanceof KeyVerdict.Rejected rejected) {
				checkAndRecordReport(key, rejected.refusal().outcome());
			}
		}

		private EntryProcess processOnVmOf(IdempotencyKey key) {
			return this.processes.stream()
				.filter((process) -> process.self.vm().equals(key.vm()))
				.findFirst()
				.orElseThrow();
		}

		private void checkAndRecordAcceptance(EntryProcess process, IdempotencyKey key) {
			assertThat(this.reportedOutcomes.get(key)).as("accepted after it was reported as not run: %s", key)
				.isNotEqualTo(Outcome.NOT_RUN);
			assertThat(this.acceptedKeys.add(key)).as("accepted twice: %s", key).isTrue();
			process.running.add(key);
		}

		private void queryOutcome() {
			if (!this.keys.isEmpty()) {
				IdempotencyKey key = this.keys.get(this.random.nextInt(this.keys.size()));
				checkAndRecordReport(key, processOnVmOf(key).table.resolveOutcome(key));
			}
		}

		private void checkAndRecordReport(IdempotencyKey key, Outcome outcome) {
			if (outcome == Outcome.NOT_RUN) {
				assertThat(this.acceptedKeys).as("reported as not run after it was accepted: %s", key)
					.doesNotContain(key);
				this.reportedOutcomes.put(key, outcome);
			}
		}

		private void restart(EntryProcess process) {
			int index = this.processes.indexOf(process);
			this.processes.set(index, new EntryProcess(index, process.self.incarnation().startEpochMillis() + 1));
		}

	}

	/**
	 * One incarnation of the process on a VM.
	 */
	private static final class EntryProcess {

		private final ManualClock clock = new ManualClock(0, 0);

		private final ProcessIdentity self;

		private final KeyTable table;

		private final List<IdempotencyKey> running = new ArrayList<>();

		EntryProcess(int index, long startEpochMillis) {
			this.self = new ProcessIdentity(new VmName("entry-" + index), new Incarnation(startEpochMillis, 0));
			this.table = new KeyTable(this.self, this.clock);
			this.table.configure(new KeySettings(3, 1_000, 3, 4));
		}

		void endRandomRequest(SplittableRandom random) {
			if (this.running.isEmpty()) {
				return;
			}
			IdempotencyKey key = this.running.remove(random.nextInt(this.running.size()));
			if (random.nextBoolean()) {
				this.table.recordRan(key, null);
			}
			else {
				this.table.recordUnknown(key);
			}
		}

	}

}
