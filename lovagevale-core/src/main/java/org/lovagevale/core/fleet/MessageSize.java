package org.lovagevale.core.fleet;

import java.util.List;

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
 * Estimates the encoded size of peer messages for the byte budget of a link.
 *
 * <p>
 * Thread-safe.
 */
final class MessageSize {

	/** Size of the frame length, the message type, the array header and two numbers. */
	static final int FRAME_BYTES = 24;

	private static final int STRING_HEADER_BYTES = 2;

	private static final int NUMBER_BYTES = 9;

	private MessageSize() {
	}

	static int of(MemberEntry entry) {
		return text(entry.vm()) + text(entry.incarnation()) + text(entry.phase()) + 2 * NUMBER_BYTES
				+ STRING_HEADER_BYTES;
	}

	static int of(ServerEntry entry) {
		return text(entry.server()) + text(entry.state()) + text(entry.boot()) + NUMBER_BYTES;
	}

	static int of(SuspectEntry entry) {
		return text(entry.fingerprint()) + texts(entry.regions()) + 3 * NUMBER_BYTES;
	}

	static int of(PeerMessage message) {
		return FRAME_BYTES + switch (message) {
			case Hello hello -> text(hello.deployment()) + text(hello.vm()) + text(hello.incarnation());
			case Digest digest -> of(digest);
			case SettingsRequest request -> 0;
			case SettingsBody body -> text(body.content());
			case SuspectNotice notice -> of(notice.suspect());
			case SuspectNoticeAck ack -> 0;
			case OutcomeQuery query -> text(query.key()) + texts(query.regions());
			case OutcomeAnswer answer -> text(answer.key()) + text(answer.outcome());
			case KeyArchive archive -> text(archive.vm()) + text(archive.incarnation()) + texts(archive.ran())
					+ texts(archive.unknown()) + texts(archive.regions());
			case RegionMessage region -> 0;
		};
	}

	private static int of(Digest digest) {
		int members = digest.members().stream().mapToInt(MessageSize::of).sum();
		int servers = digest.servers().stream().mapToInt(MessageSize::of).sum();
		int suspects = digest.suspects().stream().mapToInt(MessageSize::of).sum();
		return members + servers + suspects;
	}

	private static int text(String text) {
		return STRING_HEADER_BYTES + text.length();
	}

	private static int texts(List<String> texts) {
		return texts.stream().mapToInt(MessageSize::text).sum();
	}

}
