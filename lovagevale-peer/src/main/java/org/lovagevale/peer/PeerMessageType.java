package org.lovagevale.peer;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.message.AccountAsk;
import org.lovagevale.core.message.AccountDemand;
import org.lovagevale.core.message.AccountGrant;
import org.lovagevale.core.message.CatalogNews;
import org.lovagevale.core.message.CatalogRequest;
import org.lovagevale.core.message.Digest;
import org.lovagevale.core.message.Hello;
import org.lovagevale.core.message.KeyArchive;
import org.lovagevale.core.message.OutcomeAnswer;
import org.lovagevale.core.message.OutcomeQuery;
import org.lovagevale.core.message.PeerMessage;
import org.lovagevale.core.message.RegionLoad;
import org.lovagevale.core.message.RosterBeat;
import org.lovagevale.core.message.RosterList;
import org.lovagevale.core.message.RosterRequest;
import org.lovagevale.core.message.RosterSummary;
import org.lovagevale.core.message.ServerLeaving;
import org.lovagevale.core.message.SettingsBody;
import org.lovagevale.core.message.SettingsRequest;
import org.lovagevale.core.message.SlotAsk;
import org.lovagevale.core.message.SlotCancelled;
import org.lovagevale.core.message.SlotGranted;
import org.lovagevale.core.message.SlotOffered;
import org.lovagevale.core.message.SlotQueued;
import org.lovagevale.core.message.SlotRefused;
import org.lovagevale.core.message.SlotReturned;
import org.lovagevale.core.message.SuspectNotice;
import org.lovagevale.core.message.SuspectNoticeAck;

/**
 * The types of peer messages and their codes on the wire.
 *
 * <p>
 * Invariant: a code is never reused for a different message.
 */
enum PeerMessageType {

	HELLO(1, Hello.class),

	DIGEST(2, Digest.class),

	SETTINGS_REQUEST(3, SettingsRequest.class),

	SETTINGS_BODY(4, SettingsBody.class),

	NOTICE(5, SuspectNotice.class),

	NOTICE_ACK(6, SuspectNoticeAck.class),

	OUTCOME_QUERY(7, OutcomeQuery.class),

	OUTCOME_ANSWER(8, OutcomeAnswer.class),

	KEY_ARCHIVE(9, KeyArchive.class),

	ROSTER_BEAT(10, RosterBeat.class),

	ROSTER_LIST(11, RosterList.class),

	CATALOG_NEWS(12, CatalogNews.class),

	CATALOG_REQUEST(13, CatalogRequest.class),

	SLOT_ASK(14, SlotAsk.class),

	SLOT_GRANTED(15, SlotGranted.class),

	SLOT_QUEUED(16, SlotQueued.class),

	SLOT_REFUSED(17, SlotRefused.class),

	SLOT_CANCELLED(18, SlotCancelled.class),

	SLOT_RETURNED(19, SlotReturned.class),

	ROSTER_SUMMARY(20, RosterSummary.class),

	ROSTER_REQUEST(21, RosterRequest.class),

	SERVER_LEAVING(22, ServerLeaving.class),

	ACCOUNT_ASK(23, AccountAsk.class),

	ACCOUNT_GRANT(24, AccountGrant.class),

	ACCOUNT_DEMAND(25, AccountDemand.class),

	SLOT_OFFERED(26, SlotOffered.class),

	REGION_LOAD(27, RegionLoad.class);

	private final int code;

	private final Class<? extends PeerMessage> messageClass;

	PeerMessageType(int code, Class<? extends PeerMessage> messageClass) {
		this.code = code;
		this.messageClass = messageClass;
	}

	static PeerMessageType of(PeerMessage message) {
		return switch (message) {
			case Hello hello -> HELLO;
			case Digest digest -> DIGEST;
			case SettingsRequest request -> SETTINGS_REQUEST;
			case SettingsBody body -> SETTINGS_BODY;
			case SuspectNotice notice -> NOTICE;
			case SuspectNoticeAck ack -> NOTICE_ACK;
			case OutcomeQuery query -> OUTCOME_QUERY;
			case OutcomeAnswer answer -> OUTCOME_ANSWER;
			case KeyArchive archive -> KEY_ARCHIVE;
			case RosterBeat beat -> ROSTER_BEAT;
			case RosterList list -> ROSTER_LIST;
			case CatalogNews news -> CATALOG_NEWS;
			case CatalogRequest request -> CATALOG_REQUEST;
			case SlotAsk ask -> SLOT_ASK;
			case SlotGranted granted -> SLOT_GRANTED;
			case SlotQueued queued -> SLOT_QUEUED;
			case SlotRefused refused -> SLOT_REFUSED;
			case SlotCancelled cancelled -> SLOT_CANCELLED;
			case SlotReturned returned -> SLOT_RETURNED;
			case RosterSummary summary -> ROSTER_SUMMARY;
			case RosterRequest request -> ROSTER_REQUEST;
			case ServerLeaving leaving -> SERVER_LEAVING;
			case AccountAsk ask -> ACCOUNT_ASK;
			case AccountGrant grant -> ACCOUNT_GRANT;
			case AccountDemand demand -> ACCOUNT_DEMAND;
			case SlotOffered offered -> SLOT_OFFERED;
			case RegionLoad load -> REGION_LOAD;
		};
	}

	static @Nullable PeerMessageType ofCode(int code) {
		for (PeerMessageType type : values()) {
			if (type.code == code) {
				return type;
			}
		}
		return null;
	}

	int code() {
		return this.code;
	}

	Class<? extends PeerMessage> messageClass() {
		return this.messageClass;
	}

}
