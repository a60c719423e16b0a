package org.lovagevale.node.audit;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.ManualClock;
import org.lovagevale.core.AuditEntry;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.Refusal;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.decision.Refuse;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against trails that grow without bound, against an audit trail that claims to be
 * complete although entries were dropped, and against request data in the request trail,
 * such as the messages of refusals.
 */
class TrailTests {

	@Test
	void auditTrailReportsFromWhenOnItIsComplete() {
		AuditTrail trail = new AuditTrail(2, 100);
		for (int i = 1; i <= 3; i++) {
			assertThat(trail.view().completeSince()).isEqualTo(100);
			trail.add(new AuditEntry(100 + i, "event", Map.of()));
		}
		assertThat(trail.view().completeSince()).isEqualTo(102);
		assertThat(trail.view().dropped()).isEqualTo(1);
		assertThat(trail.view().entries()).extracting(AuditEntry::epochMillis).containsExactly(102L, 103L);
	}

	@Test
	void requestTrailDropsTheOldestRequestAndRecordsNoRefusalMessage() {
		RequestTrail trail = new RequestTrail(2, new ManualClock(0, 100));
		for (int i = 1; i <= 3; i++) {
			Refusal refusal = new Refusal(RefusalReason.OVERLOADED, Outcome.NOT_RUN, 0, "secret");
			for (int j = 0; j < RequestTrail.MAX_STEPS + 5; j++) {
				trail.record(new Refuse(new RequestId(i), refusal));
			}
		}
		assertThat(trail.find(new RequestId(1))).isEmpty();
		assertThat(trail.find(new RequestId(3))).get().asString().contains("overloaded").doesNotContain("secret");
		assertThat(trail.find(new RequestId(3)).orElseThrow()).hasSize(RequestTrail.MAX_STEPS);
	}

}
