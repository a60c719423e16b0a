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
 * Handles messages of peers.
 *
 * <p>
 * Messages and entries that are malformed, or whose home regions do not contain the
 * region of this process, are dropped and counted. Not thread-safe.
 */
final class PeerInbox {

	private final ProcessIdentity self;

	private final Clock clock;

	private final Published published;

	private final Heartbeat heartbeat;

	private final Members members;

	private final SettingsFreshness freshness;

	private final StartRule startRule;

	private final ServerReports reports;

	private final LeavingMarks leaving;

	private final Suspects suspects;

	private final Notices notices;

	private final Archives archives;

	private final OutcomeQueries queries;

	private final Outbox outbox;

	private final PlannedStop stop;

	private final Counters counters;

	PeerInbox(ProcessIdentity self, Clock clock, Published published, Heartbeat heartbeat, Members members,
			SettingsFreshness freshness, StartRule startRule, ServerReports reports, LeavingMarks leaving,
			Suspects suspects, Notices notices, Archives archives, OutcomeQueries queries, Outbox outbox,
			PlannedStop stop, Counters counters) {
		this.self = self;
		this.clock = clock;
		this.published = published;
		this.heartbeat = heartbeat;
		this.members = members;
		this.freshness = freshness;
		this.startRule = startRule;
		this.reports = reports;
		this.leaving = leaving;
		this.suspects = suspects;
		this.notices = notices;
		this.archives = archives;
		this.queries = queries;
		this.outbox = outbox;
		this.stop = stop;
		this.counters = counters;
	}

	void received(VmName from, PeerMessage message) {
		if (!this.published.mayReceive(regions(message))) {
			this.counters.outsideHome();
			return;
		}
		guarded(() -> handle(from, message));
	}

	private void handle(VmName from, PeerMessage message) {
		switch (message) {
			case Digest digest -> digest(from, digest);
			case SettingsRequest request -> settings(from, request);
			case SettingsBody body -> this.counters.body();
			case SuspectNotice notice -> notice(from, notice);
			case SuspectNoticeAck ack -> this.notices.acknowledged(from, ack.id());
			case OutcomeQuery query -> this.queries.answer(from, query);
			case OutcomeAnswer answer -> this.queries.answered(from, answer);
			case KeyArchive archive -> archive(from, archive);
			case Hello hello -> {
			}
			case RegionMessage region -> {
			}
		}
	}

	private static List<String> regions(PeerMessage message) {
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

	private void digest(VmName from, Digest digest) {
		PeerLink link = this.outbox.linkOrNew(from);
		link.greet();
		long provenAt = provenAt(digest);
		digest.members().forEach((entry) -> guarded(() -> member(link, entry, provenAt)));
		settings(from, digest, provenAt);
		if (provenAt != Heartbeat.NEVER) {
			digest.servers().forEach((entry) -> guarded(() -> server(entry, provenAt)));
		}
		long sentAt = (provenAt != Heartbeat.NEVER) ? provenAt : this.clock.millis();
		digest.suspects().forEach((entry) -> suspect(from, entry, sentAt));
	}

	private long provenAt(Digest digest) {
		String incarnation = this.self.incarnation().toString();
		return digest.members()
			.stream()
			.filter((entry) -> isSelf(entry) && entry.incarnation().equals(incarnation))
			.mapToLong((entry) -> this.heartbeat.issuedAt(entry.beat()))
			.max()
			.orElse(Heartbeat.NEVER);
	}

	private boolean isSelf(MemberEntry entry) {
		return entry.vm().equals(this.self.vm().value());
	}

	private void member(PeerLink link, MemberEntry entry, long provenAt) {
		if (!isSelf(entry)) {
			this.members.merge(entry, provenAt);
			link.exchanged(entry, this.clock.millis());
		}
		else if (Incarnation.parse(entry.incarnation()).compareTo(this.self.incarnation()) > 0) {
			this.stop.begin("replaced by a newer process", 0);
		}
	}

	private void settings(VmName from, Digest digest, long provenAt) {
		long version = digest.settingsVersion();
		this.startRule.answered(from);
		this.freshness.claim(from, version);
		if (provenAt != Heartbeat.NEVER && digest.confirmedAgeMs() >= 0 && version > 0) {
			this.freshness.confirm(version, provenAt - digest.confirmedAgeMs());
		}
		SettingsRequest request = this.freshness.requestFor(version);
		if (request != null) {
			this.outbox.send(from, request);
		}
	}

	private void server(ServerEntry entry, long provenAt) {
		long at = provenAt - Math.max(0, entry.ageMs());
		if (entry.state().equals(ServerEntry.LEAVING)) {
			this.leaving.heard(entry, at);
		}
		else {
			this.reports.heard(entry, at);
		}
	}

	private void suspect(VmName from, SuspectEntry entry, long sentAt) {
		if (this.published.mayReceive(entry.regions())) {
			this.suspects.heard(from, entry, sentAt);
		}
		else {
			this.counters.outsideHome();
		}
	}

	private void settings(VmName from, SettingsRequest request) {
		if (request.knownVersion() < this.published.version()) {
			this.outbox.send(from, new SettingsBody(this.published.version(), 0, this.published.content()));
		}
	}

	private void notice(VmName from, SuspectNotice notice) {
		Member sender = this.members.find(from);
		String incarnation = (sender != null) ? sender.incarnation().toString() : "";
		this.suspects.noticed(from, Suspects.origin(from, incarnation), notice.suspect());
		this.outbox.send(from, new SuspectNoticeAck(notice.id()));
	}

	private void archive(VmName from, KeyArchive archive) {
		if (!archive.vm().equals(from.value())) {
			throw new IllegalArgumentException("key archive of another VM");
		}
		this.archives.add(archive);
	}

	private void guarded(Runnable action) {
		try {
			action.run();
		}
		catch (IllegalArgumentException ex) {
			this.counters.malformed();
		}
	}

}
