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
import org.lovagevale.core.message.SlotRefused;
import org.lovagevale.core.placing.PlacingLimits;
import org.lovagevale.core.placing.RefusalCause;
import org.lovagevale.core.placing.SendPurpose;
import org.lovagevale.core.placing.ServerAnnouncements;
import org.lovagevale.core.placing.SlotDispatcher;
import org.lovagevale.core.placing.SlotRequest;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.core.roster.RosterPhase;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests without a decision after a refusal of another release.
 */
class SlotClientTests {

	private static final FailureDomain DOMAIN = new FailureDomain("west-1");

	private static final Region WEST = new Region("west");

	private final ManualClock clock = new ManualClock(10_000, 10_000);

	private final Roster roster = new Roster(this.clock, member("vm-a", RosterPhase.STARTING));

	private final SlotClient client = new SlotClient(this.clock, this.roster, (to, message) -> {
	}, (replies) -> new SlotDispatcher(this.clock, new SeededRandom(1), WEST,
			new PlacingLimits(0.2, 10_000, 60, 1, 1.5, 5), (service) -> true, new ServerAnnouncements(this.clock),
			replies));

	private final List<RefusalCause> refusals = new ArrayList<>();

	@Test
	void refusalWithAnUnknownCauseReachesTheRequest() {
		this.roster.recordHeartbeat(member("vm-b", RosterPhase.SERVING));
		SlotRequest request = new SlotRequest(this.client.nextId(), new ServiceName("balances"), DOMAIN, Set.of(),
				false, 1, false, SendPurpose.FIRST, 10, 400, 2_000, Set.of(), 1);
		this.client.requestSlot(request, new SlotListener() {

			@Override
			public void granted(SlotGrant grant) {
				throw new AssertionError("no slot was granted");
			}

			@Override
			public void refused(RefusalCause cause, int retryAfterMs) {
				SlotClientTests.this.refusals.add(cause);
			}

		});
		this.client.handleRefusal(new VmName("vm-b"),
				new SlotRefused(request.id().number(), "CAUSE_OF_ANOTHER_RELEASE", 250));
		assertThat(this.refusals).containsExactly(RefusalCause.OVERLOAD);
		assertThat(this.client.hasPendingRequests()).isFalse();
	}

	private static RosterMember member(String vm, RosterPhase phase) {
		return new RosterMember(new VmName(vm), "127.0.0.1", 1, 2, DOMAIN, WEST, 100, new Incarnation(1, 1), 1, phase);
	}

}
