package org.lovagevale.gateway;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against errors that do not name the port in use, and against a start that cannot
 * be repeated once the port is free.
 */
@Timeout(60)
class PortInUseTests {

	@Test
	void errorNamesThePeerAddressThatIsInUse() throws Exception {
		try (TestGateway gateway = new TestGateway(List.of()); ServerSocket other = listen(gateway.peerAddress())) {
			assertThatExceptionOfType(GatewayException.class).isThrownBy(() -> gateway.process().start())
				.withMessageContaining(gateway.peerAddress().toString());
			assertThat(other.isBound()).isTrue();
		}
	}

	@Test
	void startCanBeRepeatedOnceTheCallerPortIsFree() throws Exception {
		try (TestGateway gateway = new TestGateway(List.of()).publishConfiguration(1_000)) {
			try (ServerSocket other = listen(gateway.callerAddress())) {
				assertThatExceptionOfType(GatewayException.class).isThrownBy(() -> gateway.process().start())
					.withMessageContaining(gateway.callerAddress().toString());
				assertThat(other.isBound()).isTrue();
			}
			assertThat(gateway.start().process().isReady()).isTrue();
		}
	}

	@Test
	void stopBeforeTheStartOpensNoPort() throws Exception {
		try (TestGateway gateway = new TestGateway(List.of())) {
			gateway.process().stop();
			gateway.process().start();
			listen(gateway.callerAddress()).close();
		}
	}

	private static ServerSocket listen(HostPort address) throws Exception {
		return new ServerSocket(address.port(), 1, InetAddress.getByName(address.host()));
	}

}
