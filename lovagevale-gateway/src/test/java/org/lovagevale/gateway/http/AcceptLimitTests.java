package org.lovagevale.gateway.http;

import java.util.ArrayList;
import java.util.List;

import io.netty.channel.Channel;
import io.netty.channel.DefaultChannelId;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against connections of callers that take all descriptors, and against a port
 * that is not read on when there is room again.
 */
class AcceptLimitTests {

	private static final int MAX_CONNECTIONS = 3;

	private final AcceptLimit limit = new AcceptLimit(MAX_CONNECTIONS);

	private final EmbeddedChannel listening = new EmbeddedChannel();

	private final List<Channel> connections = new ArrayList<>();

	@Test
	void noConnectionIsAcceptedWhileTheLimitIsReached() {
		accept(MAX_CONNECTIONS - 1);
		assertThat(this.listening.config().isAutoRead()).isTrue();
		accept(1);
		assertThat(this.listening.config().isAutoRead()).isFalse();
		assertThat(this.limit.isReached()).isTrue();
	}

	@Test
	void connectionsAreAcceptedAgainAfterAClose() {
		accept(MAX_CONNECTIONS);
		this.connections.getFirst().close();
		assertThat(this.listening.config().isAutoRead()).isTrue();
		accept(1);
		assertThat(this.listening.config().isAutoRead()).isFalse();
	}

	@Test
	void waitingConnectionsAreAcceptedBeforeThePortIsClosed() {
		accept(MAX_CONNECTIONS);
		this.limit.lift(this.listening);
		accept(MAX_CONNECTIONS);
		assertThat(this.listening.config().isAutoRead()).isTrue();
		assertThat(this.limit.isReached()).isFalse();
	}

	@Test
	void limitHasToBePositive() {
		assertThatIllegalArgumentException().isThrownBy(() -> new AcceptLimit(0));
	}

	private void accept(int count) {
		for (int i = 0; i < count; i++) {
			EmbeddedChannel connection = new EmbeddedChannel(this.listening, DefaultChannelId.newInstance(), true,
					false);
			this.connections.add(connection);
			this.limit.accepted(connection);
		}
	}

}
