package org.lovagevale.gateway;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against connections that leave no descriptors for files, peers and servers.
 */
class DescriptorLimitsTests {

	/** The limits of the readiness, directory and metrics ports together. */
	private static final int ENDPOINT_CONNECTIONS = 256 + 256 + 32;

	private static final int UNINTRODUCED_PEERS = 128;

	private static final int FILES = 200;

	@ParameterizedTest
	@ValueSource(longs = { 2_069, 4_100, 8_192, 65_536, Long.MAX_VALUE })
	void descriptorsAreLeftBesideAllPorts(long descriptors) {
		DescriptorLimits limits = DescriptorLimits.of(descriptors);
		long used = limits.callerConnections() + ENDPOINT_CONNECTIONS + limits.excessEndpointConnections()
				+ UNINTRODUCED_PEERS + FILES;
		assertThat(used).isLessThan(descriptors);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 100, 2_069, Long.MAX_VALUE })
	void someConnectionsAreAlwaysAccepted(long descriptors) {
		DescriptorLimits limits = DescriptorLimits.of(descriptors);
		assertThat(limits.callerConnections()).isPositive();
		assertThat(limits.excessEndpointConnections()).isPositive();
	}

	@Test
	void limitOfThisProcessIsRead() {
		assertThat(DescriptorLimits.forThisProcess().callerConnections()).isPositive();
	}

	@Test
	void limitHasToBePositive() {
		assertThatIllegalArgumentException().isThrownBy(() -> DescriptorLimits.of(0));
	}

}
