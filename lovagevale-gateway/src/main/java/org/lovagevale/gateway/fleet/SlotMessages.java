package org.lovagevale.gateway.fleet;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.message.SlotAsk;
import org.lovagevale.core.message.SlotReturned;
import org.lovagevale.core.placing.SendPurpose;
import org.lovagevale.core.placing.ServerLoad;
import org.lovagevale.core.placing.SlotId;
import org.lovagevale.core.placing.SlotOutcome;
import org.lovagevale.core.placing.SlotRelease;
import org.lovagevale.core.placing.SlotRequest;

/**
 * Converts slot requests and releases to and from the messages that carry them.
 *
 * <p>
 * Thread-safe.
 */
final class SlotMessages {

	private SlotMessages() {
	}

	static SlotAsk toMessage(SlotRequest request) {
		List<String> homeRegions = request.homeRegions().stream().map(Region::value).toList();
		List<String> triedServers = request.triedServers().stream().map(ServerName::value).toList();
		return new SlotAsk(request.id().number(), request.service().value(), request.domain().value(), homeRegions,
				request.localOnly(), request.priority(), request.largeResponse(), request.purpose().name(),
				request.workMs(), request.targetLeftMs(), request.timeLeftMs(), triedServers, request.fingerprint(),
				request.route(), request.bodyBytes(), request.overflowRegions().stream().map(Region::value).toList(),
				request.hedgeable());
	}

	/**
	 * Converts a message to a slot request.
	 * @param from the VM that sent the message
	 * @param ask the message
	 * @return the slot request
	 * @throws IllegalArgumentException if a value in the message is invalid
	 */
	static SlotRequest toRequest(VmName from, SlotAsk ask) {
		Set<Region> homeRegions = ask.homes().stream().map(Region::new).collect(Collectors.toSet());
		Set<ServerName> triedServers = ask.tried().stream().map(ServerName::new).collect(Collectors.toSet());
		Set<Region> overflowRegions = ask.overflow().stream().map(Region::new).collect(Collectors.toSet());
		return new SlotRequest(new SlotId(from, ask.number()), new ServiceName(ask.service()),
				new FailureDomain(ask.domain()), homeRegions, ask.localOnly(), ask.priority(), ask.large(),
				SendPurpose.valueOf(ask.purpose()), ask.workMs(), ask.targetLeftMs(), ask.timeLeftMs(), triedServers,
				ask.fingerprint(), ask.route(), ask.bodyBytes(), overflowRegions, ask.hedgeable());
	}

	static SlotReturned toMessage(SlotRelease release) {
		ServerLoad load = release.load();
		return new SlotReturned(release.id().number(), release.server().value(), release.outcome().name(),
				release.tookMs(), release.workMs(), load.running(), load.waiting(), load.slots(),
				load.slownessPercent(), release.fingerprint());
	}

	/**
	 * Converts a message to the release of a slot.
	 * @param from the VM that sent the message
	 * @param returned the message
	 * @return the release
	 * @throws IllegalArgumentException if a value in the message is invalid
	 */
	static SlotRelease toRelease(VmName from, SlotReturned returned) {
		ServerLoad load = new ServerLoad(returned.running(), returned.waiting(), returned.slots(),
				returned.slownessPercent());
		return new SlotRelease(new SlotId(from, returned.number()), new ServerName(returned.server()),
				SlotOutcome.valueOf(returned.outcome()), returned.tookMs(), returned.workMs(), load,
				returned.fingerprint());
	}

}
