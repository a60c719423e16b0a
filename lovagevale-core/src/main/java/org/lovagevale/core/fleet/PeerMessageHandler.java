package org.lovagevale.core.fleet;

import java.util.List;

import org.lovagevale.base.Clock;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.message.Digest;
import org.lovagevale.core.message.Hello;
import org.lovagevale.core.message.KeyArchive;
import org.lovagevale.core.message.MemberEntry;
import org.lovagevale.core.message.OutcomeAnswer;
import org.lovagevale.core.message.OutcomeQuery;
import org.lovagevale.core.message.PeerMessage;
import org.lovagevale.core.message.RegionMessage;
import org.lovagevale.core.message.ServerEntry;
import org.lovagevale.core.message.SettingsBody;
import org.lovagevale.core.message.SettingsRequest;
import org.lovagevale.core.message.SuspectEntry;
import org.lovagevale.core.message.SuspectNotice;
import org.lovagevale.core.message.SuspectNoticeAck;

/**
 * Handles the messages received from peers.
 *
 * <p>
 * Messages and entries that are malformed, or whose home regions do not contain the
 * region of this process, are dropped and counted. Not thread-safe.
 */
final class PeerMessageHandler {

	private final ProcessIdentity self;

	private final Clock clock;

	private final ActiveSettings activeSettings;

	private final Heartbeat heartbeat;

	private final Members members;

	private final SettingsFreshness freshness;

	private final StartupCondition startupCondition;

	private final ServerReports reports;

	private final LeavingNames leavingNames;

	private final Suspects suspects;

	private final SuspectNotices notices;

	private final KeyArchives archives;

	private final OutcomeQueries queries;

	private final PeerLinks peerLinks;

	private final PlannedStop plannedStop;

	private final InputCounters counters;

	PeerMessageHandler(ProcessIdentity self, Clock clock, ActiveSettings activeSettings, Heartbeat heartbeat,
			Members members, SettingsFreshness freshness, StartupCondition startupCondition, ServerReports reports,
			LeavingNames leavingNames, Suspects suspects, SuspectNotices notices, KeyArchives archives,
			OutcomeQueries queries, PeerLinks peerLinks, PlannedStop plannedStop, InputCounters counters) {
		this.self = self;
		this.clock = clock;
		this.activeSettings = activeSettings;
		this.heartbeat = heartbeat;
		this.members = members;
		this.freshness = freshness;
		this.startupCondition = startupCondition;
		this.reports = reports;
		this.leavingNames = leavingNames;
		this.suspects = suspects;
		this.notices = notices;
		this.archives = archives;
		this.queries = queries;
		this.peerLinks = peerLinks;
		this.plannedStop = plannedStop;
		this.counters = counters;
	}

	/**
	 * Handles a message, unless it is malformed or must not be used in this region.
	 * @param from the VM of the sender
	 * @param message the message
	 */
	void receive(VmName from, PeerMessage message) {
		if (!this.activeSettings.isSelfInHomeRegions(homeRegions(message))) {
			this.counters.countOutsideHomeRegions();
			return;
		}
		dropIfMalformed(() -> handle(from, message));
	}

	private void handle(VmName from, PeerMessage message) {
		switch (message) {
			case Digest digest -> handleDigest(from, digest);
			case SettingsRequest request -> handleSettingsRequest(from, request);
			case SettingsBody body -> this.counters.countSettingsBody();
			case SuspectNotice notice -> handleNotice(from, notice);
			case SuspectNoticeAck ack -> this.notices.recordAcknowledgement(from, ack.id());
			case OutcomeQuery query -> this.queries.answer(from, query);
			case OutcomeAnswer answer -> this.queries.receiveAnswer(from, answer);
			case KeyArchive archive -> handleArchive(from, archive);
			case Hello hello -> {
			}
			case RegionMessage region -> {
			}
		}
	}

	private static List<String> homeRegions(PeerMessage message) {
		return switch (message) {
			case SuspectNotice notice -> notice.suspect().regions();
			case OutcomeQuery query -> query.regions();
			case KeyArchive archive -> archive.regions();
			case Digest digest -> List.of();
			case Hello hello -> List.of();
			case SuspectNoticeAck ack -> List.of();
			case OutcomeAnswer answer -> List.of();
			case SettingsBody body -> List.of();
			case SettingsRequest request -> List.of();
			case RegionMessage region -> List.of();
		};
	}

	private void handleDigest(VmName from, Digest digest) {
		PeerLinkState link = this.peerLinks.findOrAdd(from);
		link.recordDigestReceived();
		long writtenAfter = writtenAfter(digest);
		digest.members().forEach((entry) -> dropIfMalformed(() -> mergeMember(link, entry, writtenAfter)));
		handleSettingsVersion(from, digest, writtenAfter);
		if (writtenAfter != Heartbeat.NEVER) {
			digest.servers().forEach((entry) -> dropIfMalformed(() -> mergeServer(entry, writtenAfter)));
		}
		long sentAt = (writtenAfter != Heartbeat.NEVER) ? writtenAfter : this.clock.millis();
		digest.suspects().forEach((entry) -> mergeSuspect(from, entry, sentAt));
	}

	// Returns when the heartbeat counter of this process reached the value that a digest
	// echoes; the digest was written after that.
	private long writtenAfter(Digest digest) {
		String incarnation = this.self.incarnation().toString();
		return digest.members()
			.stream()
			.filter((entry) -> isSelf(entry) && entry.incarnation().equals(incarnation))
			.mapToLong((entry) -> this.heartbeat.incrementedAt(entry.beat()))
			.max()
			.orElse(Heartbeat.NEVER);
	}

	private boolean isSelf(MemberEntry entry) {
		return entry.vm().equals(this.self.vm().value());
	}

	private void mergeMember(PeerLinkState link, MemberEntry entry, long writtenAfter) {
		if (!isSelf(entry)) {
			this.members.merge(entry, writtenAfter);
			link.recordKnown(entry, this.clock.millis());
		}
		else if (Incarnation.parse(entry.incarnation()).compareTo(this.self.incarnation()) > 0) {
			this.plannedStop.begin("replaced by a newer process", 0);
		}
	}

	private void handleSettingsVersion(VmName from, Digest digest, long writtenAfter) {
		long version = digest.settingsVersion();
		this.startupCondition.recordAnswer(from);
		this.freshness.recordPeerVersion(from, version);
		if (writtenAfter != Heartbeat.NEVER && digest.confirmedAgeMs() >= 0 && version > 0) {
			this.freshness.confirm(version, writtenAfter - digest.confirmedAgeMs());
		}
		SettingsRequest request = this.freshness.requestFor(version);
		if (request != null) {
			this.peerLinks.send(from, request);
		}
	}

	private void mergeServer(ServerEntry entry, long writtenAfter) {
		long observedAt = writtenAfter - Math.max(0, entry.ageMs());
		if (entry.state().equals(ServerEntry.LEAVING)) {
			this.leavingNames.merge(entry, observedAt);
		}
		else {
			this.reports.merge(entry, observedAt);
		}
	}

	private void mergeSuspect(VmName from, SuspectEntry entry, long sentAt) {
		if (this.activeSettings.isSelfInHomeRegions(entry.regions())) {
			this.suspects.mergeDigestEntry(from, entry, sentAt);
		}
		else {
			this.counters.countOutsideHomeRegions();
		}
	}

	private void handleSettingsRequest(VmName from, SettingsRequest request) {
		if (request.knownVersion() < this.activeSettings.version()) {
			this.peerLinks.send(from,
					new SettingsBody(this.activeSettings.version(), 0, this.activeSettings.publishedTree()));
		}
	}

	private void handleNotice(VmName from, SuspectNotice notice) {
		Member sender = this.members.find(from);
		String incarnation = (sender != null) ? sender.incarnation().toString() : "";
		this.suspects.mergeNotice(from, Suspects.origin(from, incarnation), notice.suspect());
		this.peerLinks.send(from, new SuspectNoticeAck(notice.id()));
	}

	private void handleArchive(VmName from, KeyArchive archive) {
		if (!archive.vm().equals(from.value())) {
			throw new IllegalArgumentException("key archive was not sent by the VM that owns its keys");
		}
		this.archives.add(archive);
	}

	private void dropIfMalformed(Runnable action) {
		try {
			action.run();
		}
		catch (IllegalArgumentException ex) {
			this.counters.countMalformed();
		}
	}

}
