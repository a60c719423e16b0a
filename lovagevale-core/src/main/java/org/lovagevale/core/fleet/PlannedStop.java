package org.lovagevale.core.fleet;

import java.util.List;

import org.lovagevale.base.Clock;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.AuditRecorder;
import org.lovagevale.core.DecisionSink;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.decision.Exit;
import org.lovagevale.core.decision.StopAccepting;
import org.lovagevale.core.keys.IdempotencyKeyStore;
import org.lovagevale.core.message.KeyArchive;

/**
 * Performs a planned stop: announces it, waits until callers use other VMs, stops
 * accepting requests, waits for running requests, sends the key archive and exits.
 *
 * <p>
 * Not thread-safe.
 */
final class PlannedStop {

	/**
	 * Time between sending the key archive and exiting, in which the links transmit it.
	 */
	static final long ARCHIVE_SEND_MS = 500;

	private final ProcessIdentity self;

	private final Clock clock;

	private final DecisionSink sink;

	private final IdempotencyKeyStore keys;

	private final ActiveSettings activeSettings;

	private final ArchiveHolders holders;

	private final PeerLinks peerLinks;

	private final AuditRecorder audit;

	private Step step = Step.NONE;

	private long nextStepAt;

	PlannedStop(ProcessIdentity self, Clock clock, DecisionSink sink, IdempotencyKeyStore keys,
			ActiveSettings activeSettings, Members members, PeerLinks peerLinks, AuditRecorder audit) {
		this.self = self;
		this.clock = clock;
		this.sink = sink;
		this.keys = keys;
		this.activeSettings = activeSettings;
		this.holders = new ArchiveHolders(self.vm(), activeSettings, members);
		this.peerLinks = peerLinks;
		this.audit = audit;
	}

	/**
	 * Starts the stop, unless it has started already.
	 * @param reason the reason for the audit trail
	 * @param waitMs how long callers may still use the addresses of this VM that they
	 * cached, in milliseconds; requests are accepted for that time
	 */
	void begin(String reason, long waitMs) {
		if (this.step == Step.NONE) {
			this.step = Step.ANNOUNCED;
			this.nextStepAt = this.clock.millis() + waitMs;
			this.audit.add("stop.announced", "reason", reason, "waitMs", waitMs);
		}
	}

	boolean isLeaving() {
		return this.step != Step.NONE;
	}

	/**
	 * Tells whether new requests are no longer accepted.
	 * @return {@code true} if none are accepted
	 */
	boolean isClosed() {
		return this.step.compareTo(Step.CLOSED) >= 0;
	}

	void tick(int runningRequests) {
		switch (this.step) {
			case ANNOUNCED -> close();
			case CLOSED -> sendArchive(runningRequests);
			case ARCHIVED -> exit();
			case NONE, EXITED -> {
			}
		}
	}

	private void close() {
		if (this.clock.millis() >= this.nextStepAt) {
			this.step = Step.CLOSED;
			this.sink.add(new StopAccepting());
		}
	}

	private void sendArchive(int runningRequests) {
		if (runningRequests > 0) {
			return;
		}
		this.step = Step.ARCHIVED;
		this.nextStepAt = this.clock.millis() + ARCHIVE_SEND_MS;
		Region region = this.activeSettings.ownRegion();
		if (region != null) {
			KeyArchive archive = this.keys.closeAndArchive(List.of(region.value()));
			for (VmName holder : this.holders.choose(this.self.vm(), this.self.incarnation())) {
				this.peerLinks.send(holder, archive);
			}
		}
	}

	private void exit() {
		if (this.clock.millis() >= this.nextStepAt) {
			this.step = Step.EXITED;
			this.audit.add("stop.completed");
			this.sink.add(new Exit());
		}
	}

	/**
	 * The last step that was taken.
	 */
	private enum Step {

		/** No stop was requested. */
		NONE,

		/** Other VMs no longer return this VM to callers. */
		ANNOUNCED,

		/** New requests are no longer accepted. */
		CLOSED,

		/** The key archive was sent. */
		ARCHIVED,

		/** The process was told to exit. */
		EXITED

	}

}
