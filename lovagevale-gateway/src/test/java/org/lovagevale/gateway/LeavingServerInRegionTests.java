package org.lovagevale.gateway;

import java.util.List;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import reactor.netty.tcp.TcpResources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests from the other entry VMs of a region to a server that has
 * announced its leaving to one of them.
 */
@Timeout(30)
class LeavingServerInRegionTests {

	/** Time for two heartbeats to a seed, after which each process knows the other. */
	private static final long CONTACT_EXCHANGE_MS = 2_500;

	/** Longer than the requests of a test take. */
	private static final long SHARED_THREADS_DELAY_MS = 1_000;

	// One of the two processes is the dispatcher of the service.
	@ParameterizedTest
	@ValueSource(ints = { 0, 1 })
	void serverThatLeavesGetsNothingFromTheOtherEntryVm(int first) throws Exception {
		assertNothingReachesALeavingServer(first, () -> {
		});
	}

	// The threads that the VMs share are delayed as on a busy machine.
	@ParameterizedTest
	@ValueSource(ints = { 0, 1 })
	void requestDoesNotOvertakeTheReportOfALeavingServer(int first) throws Exception {
		assertNothingReachesALeavingServer(first, LeavingServerInRegionTests::delaySharedThreads);
	}

	private static void delaySharedThreads() {
		TcpResources.get().onServer(true).forEach((loop) -> loop.execute(() -> sleep(SHARED_THREADS_DELAY_MS)));
	}

	private static void sleep(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void assertNothingReachesALeavingServer(int first, Runnable beforeRequests) throws Exception {
		try (TestServer leaving = new TestServer((request, socket) -> TestServer.write(socket,
				TestServer.ok(request, "leaving").replaceFirst("\r\n", "\r\nTest-Leaving: 1\r\n")));
				TestServer staying = new TestServer(
						(request, socket) -> TestServer.write(socket, TestServer.ok(request, "staying")));
				TestGateway seed = start(new TestGateway(List.of()), leaving, staying);
				TestGateway other = start(new TestGateway(TestAddresses.host(2), new FailureDomain("west-2"),
						new Region("west"), List.of(seed.peerAddress())), leaving, staying)) {
			Thread.sleep(CONTACT_EXCHANGE_MS);
			List<TestGateway> gateways = List.of(seed, other);
			beforeRequests.run();
			for (int i = 0; leaving.requests().isEmpty(); i++) {
				post(gateways.get(first), "first-" + i);
			}
			for (int i = 0; i < 20; i++) {
				assertThat(post(gateways.get(1 - first), "second-" + i)).endsWith("staying");
			}
			assertThat(leaving.requests()).hasSize(1);
		}
	}

	private static TestGateway start(TestGateway gateway, TestServer leaving, TestServer staying) throws Exception {
		return gateway.publishConfiguration(2_000)
			.publishServer("a", leaving.port())
			.publishServer("b", staying.port())
			.start();
	}

	private static String post(TestGateway gateway, String id) throws Exception {
		return gateway.exchange(TestGateway.postRequest("/write/" + id, id, "x"));
	}

}
