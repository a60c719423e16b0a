package org.lovagevale.gateway;

import java.net.ConnectException;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests the fixture of the other tests, which take a closed gateway for one that cannot
 * be reached.
 */
@Timeout(30)
class TestGatewayTests {

	private static final long TASK_MS = 200;

	// An event loop that runs a task when its shutdown begins can end without closing its
	// channels. The kernel then accepts connections that nobody reads.
	@Test
	void gatewayClosedDuringATaskRefusesConnections() throws Exception {
		TestGateway gateway = new TestGateway(List.of()).publishConfiguration(2_000).start();
		gateway.process().loop().execute(TestGatewayTests::pause);
		Thread.sleep(TASK_MS / 4);
		gateway.close();
		assertThatExceptionOfType(ConnectException.class).isThrownBy(gateway::connect);
	}

	private static void pause() {
		try {
			Thread.sleep(TASK_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
