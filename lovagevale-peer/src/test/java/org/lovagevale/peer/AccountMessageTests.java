package org.lovagevale.peer;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lovagevale.core.message.AccountAsk;
import org.lovagevale.core.message.AccountDemand;
import org.lovagevale.core.message.AccountGrant;
import org.lovagevale.core.message.DemandEntry;
import org.lovagevale.core.message.HeardReport;
import org.lovagevale.core.message.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against messages about client accounts that are not decoded as they were sent.
 */
class AccountMessageTests {

	private final PeerCodec codec = new PeerCodec();

	static List<PeerMessage> messages() {
		return List.of(new AccountAsk(Long.MAX_VALUE, "sese880", 7, 3_150), new AccountGrant(5, 7, 300, 0),
				new AccountDemand("west", 1L << 40, true, List.of(new HeardReport("east", 3)),
						List.of(new DemandEntry("sese880", 6_300), new DemandEntry("b", 1))),
				new AccountDemand("west", 1, false, List.of(), List.of()));
	}

	@ParameterizedTest
	@MethodSource("messages")
	void messageIsDecodedAsSent(PeerMessage message) throws PeerException {
		assertThat(this.codec.decode(this.codec.encode(message))).isEqualTo(message);
	}

}
