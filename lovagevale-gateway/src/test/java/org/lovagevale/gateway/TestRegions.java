package org.lovagevale.gateway;

import java.io.IOException;
import java.util.List;

import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;

/**
 * Two entry processes in different regions. The remote one relays requests to the home
 * one, which has the only server.
 */
final class TestRegions implements AutoCloseable {

	private static final Region HOME = new Region("west");

	private final TestServer server;

	private final TestGateway home;

	private final TestGateway remote;

	/**
	 * Starts the processes, and a server that serves all requests.
	 * @param timeoutMs the timeout of the routes, in milliseconds
	 * @param contactExchangeMs the time for the processes to know each other, in
	 * milliseconds
	 */
	TestRegions(long timeoutMs, long contactExchangeMs) throws Exception {
		this.server = new TestServer((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		this.home = new TestGateway(List.of()).setHomeRegions(HOME)
			.publishConfiguration(timeoutMs)
			.publishServer("a", this.server.port())
			.start();
		this.remote = new TestGateway(TestAddresses.host(2), new FailureDomain("east-1"), new Region("east"),
				List.of(this.home.peerAddress()))
			.setHomeRegions(HOME)
			.publishConfiguration(timeoutMs)
			.publishServer("a", this.server.port())
			.start();
		Thread.sleep(contactExchangeMs);
	}

	TestServer server() {
		return this.server;
	}

	TestGateway home() {
		return this.home;
	}

	TestGateway remote() {
		return this.remote;
	}

	@Override
	public void close() throws IOException {
		this.remote.close();
		this.home.close();
		this.server.close();
	}

}
