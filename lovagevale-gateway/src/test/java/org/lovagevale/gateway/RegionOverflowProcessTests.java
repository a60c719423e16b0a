package org.lovagevale.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that wait in a full region while another one has free capacity,
 * and against those that leave their home regions for it.
 */
class RegionOverflowProcessTests {

	private static final Region WEST = new Region("west");

	private static final Region EAST = new Region("east");

	private static final FailureDomain WEST_DOMAIN = new FailureDomain("west-1");

	private static final FailureDomain EAST_DOMAIN = new FailureDomain("east-1");

	/** Time in which the processes find each other and report their capacity. */
	private static final long EXCHANGE_MS = 4_000;

	private static final int REQUESTS = 5;

	private TestServer westServer;

	private TestServer eastServer;

	private TestGateway west;

	private TestGateway east;

	@BeforeEach
	void start() throws Exception {
		this.westServer = new TestServer(RegionOverflowProcessTests::respondSlowly);
		this.eastServer = new TestServer(RegionOverflowProcessTests::respondSlowly);
		this.west = publish(TestGateway.withRegionOverflow(TestAddresses.host(1), TestGateway.DOMAIN,
				TestGateway.REGION, List.of()))
			.start();
		this.east = publish(TestGateway.withRegionOverflow(TestAddresses.host(2), EAST_DOMAIN, EAST,
				List.of(this.west.peerAddress())))
			.start();
		Thread.sleep(EXCHANGE_MS);
	}

	private TestGateway publish(TestGateway gateway) {
		return gateway.publishConfiguration(4_000)
			.publishServer("a", this.westServer.port(), WEST_DOMAIN, WEST, 1)
			.publishServer("b", this.eastServer.port(), EAST_DOMAIN, EAST, 1);
	}

	private static void respondSlowly(TestServer.Request request, Socket socket) throws IOException {
		if (request.headers().containsKey("test-id")) {
			try {
				Thread.sleep(800);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		TestServer.write(socket, TestServer.ok(request, "hello"));
	}

	@AfterEach
	void stop() throws Exception {
		this.east.close();
		this.west.close();
		this.eastServer.close();
		this.westServer.close();
	}

	private List<String> sendTogether() {
		List<CompletableFuture<String>> responses = new ArrayList<>();
		for (int i = 0; i < REQUESTS; i++) {
			String request = TestGateway.postRequest("/write/" + i, "id-" + i, "x");
			responses.add(CompletableFuture.supplyAsync(() -> {
				try {
					return this.west.exchange(request);
				}
				catch (IOException ex) {
					throw new IllegalStateException(ex);
				}
			}));
		}
		return responses.stream().map(CompletableFuture::join).toList();
	}

	private static long requests(TestServer server) {
		return server.requests().stream().filter((request) -> request.headers().containsKey("test-id")).count();
	}

	@Test
	void requestsThatWouldWaitMoveToARegionWithFreeCapacity() {
		assertThat(sendTogether()).anyMatch((response) -> response.startsWith("HTTP/1.1 200 OK"));
		assertThat(requests(this.westServer)).isPositive();
		assertThat(requests(this.eastServer)).isPositive();
		assertThat(this.west.process().metrics().scrape()).contains("lovagevale_gateway_relays_total")
			.contains("cause=\"OTHER_REGION\"")
			.contains("lovagevale_gateway_region_loads_total");
	}

	@Test
	void requestsStayInTheirHomeRegions() throws Exception {
		// Each of them may be the reader whose catalog both use.
		this.west.setHomeRegions(WEST).publishConfiguration(4_000);
		this.east.setHomeRegions(WEST).publishConfiguration(4_000);
		Thread.sleep(EXCHANGE_MS / 2);
		sendTogether();
		assertThat(requests(this.westServer)).isPositive();
		assertThat(requests(this.eastServer)).isZero();
	}

}
