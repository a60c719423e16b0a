package org.lovagevale.core.fleet;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.VmName;
import org.lovagevale.core.DecisionSink;
import org.lovagevale.core.decision.SendToPeer;
import org.lovagevale.core.message.PeerMessage;

/**
 * The open links to peers. Every message sent is charged to the byte budget of its link.
 *
 * <p>
 * No message is delayed: digests are limited to the budget when they are written, and all
 * other messages take priority over digests. Not thread-safe.
 */
final class PeerLinks {

	private final Clock clock;

	private final DecisionSink sink;

	private final ActiveSettings activeSettings;

	private final Map<VmName, PeerLinkState> links = new TreeMap<>();

	PeerLinks(Clock clock, DecisionSink sink, ActiveSettings activeSettings) {
		this.clock = clock;
		this.sink = sink;
		this.activeSettings = activeSettings;
	}

	void add(VmName peer) {
		this.links.put(peer, newLink());
	}

	PeerLinkState findOrAdd(VmName peer) {
		return this.links.computeIfAbsent(peer, (name) -> newLink());
	}

	void remove(VmName peer) {
		this.links.remove(peer);
	}

	@Nullable PeerLinkState find(VmName peer) {
		return this.links.get(peer);
	}

	Map<VmName, PeerLinkState> links() {
		return Collections.unmodifiableMap(this.links);
	}

	long availableBytes(PeerLinkState link) {
		return link.budget().availableBytes(this.clock.millis(), bytesPerSecond());
	}

	/**
	 * Sends a message to a peer, opening a link if none exists.
	 * @param peer the peer
	 * @param message the message
	 */
	void send(VmName peer, PeerMessage message) {
		PeerLinkState link = this.links.get(peer);
		if (link != null) {
			link.budget().charge(MessageSize.of(message), bytesPerSecond());
		}
		this.sink.add(new SendToPeer(peer, message));
	}

	private PeerLinkState newLink() {
		return new PeerLinkState(new ByteBudget(this.clock.millis(), bytesPerSecond()));
	}

	private int bytesPerSecond() {
		return this.activeSettings.exchange().peerBytesPerSecond();
	}

}
