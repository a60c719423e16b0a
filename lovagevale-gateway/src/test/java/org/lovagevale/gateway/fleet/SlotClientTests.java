package org.lovagevale.gateway.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.Region;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.message.RegionMessage;
import org.lovagevale.core.message.SlotGranted;
import org.lovagevale.core.message.SlotRefused;
import org.lovagevale.core.message.SlotReturned;
import org.lovagevale.core.placing.PlacingLimits;
import org.lovagevale.core.placing.RefusalCause;
import org.lovagevale.core.placing.SendPurpose;
import org.lovagevale.core.placing.ServerAnnouncements;
import org.lovagevale.core.placing.SlotDispatcher;
import org.lovagevale.core.placing.SlotId;
import org.lovagevale.core.placing.SlotOutcome;
import org.lovagevale.core.placing.SlotRequest;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.core.roster.RosterPhase;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against replies of a dispatcher that are assigned to another request.
 */
class SlotClientTests {

	private static final Region WEST = new Region("west");

	private static final FailureDomain DOMAIN = new FailureDomain("west-1");

	private static final VmName DISPATCHER = new VmName("vm-dispatcher");

	private final ManualClock clock = new ManualClock(10_000, 1_000_000);

	private final List<RegionMessage> sent = new ArrayList<>();

	private final List<String> replies = new ArrayList<>();

	private static RosterMember member(VmName vm, Incarnation incarnation, RosterPhase phase) {
		return new RosterMember(vm, "127.0.0.1", 1, 2, DOMAIN, WEST, 100, incarnation, 1, phase);
	}

	private SlotClient client(Incarnation incarnation) {
		Roster roster = new Roster(this.clock, member(new VmName("vm-self"), incarnation, RosterPhase.STARTING));
		roster.recordHeartbeat(member(DISPATCHER, new Incarnation(1, 1), RosterPhase.SERVING));
		return new SlotClient(this.clock, roster, (to, message) -> this.sent.add(message),
				(receiver) -> new SlotDispatcher(this.clock, new SeededRandom(1), WEST,
						new PlacingLimits(0.2, 10_000, 62, 3, 1.5, 5), (service) -> false,
						new ServerAnnouncements(this.clock), receiver));
	}

	private SlotListener listener() {
		return new SlotListener() {

			@Override
			public void granted(SlotGrant grant) {
				SlotClientTests.this.replies.add("granted " + grant.server());
			}

			@Override
			public void refused(RefusalCause cause, int retryAfterMs) {
				SlotClientTests.this.replies.add("refused " + cause);
			}

		};
	}

	// Guards against a request that is sent to a server of another service.
	@Test
	void lateReplyToAnEarlierRunIsNotAssignedToARequestOfThisRun() {
		SlotId earlier = client(new Incarnation(1, 7)).nextId();
		SlotClient client = client(new Incarnation(2, 8));
		client.requestSlot(new SlotRequest(client.nextId(), new ServiceName("balances"), DOMAIN, Set.of(), false, 1,
				false, SendPurpose.FIRST, 100, 400, 2_000, Set.of(), 1), listener());
		client.handleRefusal(DISPATCHER, new SlotRefused(earlier.number(), RefusalCause.OVERLOAD.name(), 100));
		client.handleGrant(DISPATCHER, new SlotGranted(earlier.number(), "server-of-another-service", ""));
		assertThat(this.replies).isEmpty();
		assertThat(this.sent.getLast()).isInstanceOfSatisfying(SlotReturned.class, (returned) -> {
			assertThat(returned.number()).isEqualTo(earlier.number());
			assertThat(returned.outcome()).isEqualTo(SlotOutcome.UNUSED.name());
		});
	}

	@Test
	void refusalWithAnUnknownCauseReachesTheRequest() {
		SlotClient client = client(new Incarnation(1, 7));
		SlotId id = client.nextId();
		client.requestSlot(new SlotRequest(id, new ServiceName("balances"), DOMAIN, Set.of(), false, 1, false,
				SendPurpose.FIRST, 10, 400, 2_000, Set.of(), 1), listener());
		client.handleRefusal(DISPATCHER, new SlotRefused(id.number(), "CAUSE_OF_ANOTHER_RELEASE", 250));
		assertThat(this.replies).containsExactly("refused " + RefusalCause.OVERLOAD);
		assertThat(client.hasPendingRequests()).isFalse();
	}

}
