package org.lovagevale.gateway;

import java.net.Socket;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.core.catalog.ClientAccount;
import org.lovagevale.core.catalog.RateLimit;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests without a valid credential that reach a backend server,
 * credentials that reach one, and accounts that the caller states itself.
 */
@Timeout(60)
class ClientAccountTests {

	/** Time within which the process reads a new configuration, in milliseconds. */
	private static final long CONFIGURATION_READ_MS = 1_500;

	/** Time for two heartbeats to a seed, after which each process knows the other. */
	private static final long CONTACT_EXCHANGE_MS = 2_500;

	private TestServer server;

	private TestGateway gateway;

	private static ClientAccount account(String... credentials) {
		return new ClientAccount(new AccountName("sese880"), Set.of(credentials), OptionalInt.empty(), RateLimit.NONE,
				Set.of());
	}

	private static String request(String path, String id, String headers) {
		return TestGateway.getRequest(path, id).replaceFirst("\r\n", "\r\n" + headers);
	}

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		this.gateway = new TestGateway(List.of()).setAccounts(account("k1", "k2"))
			.publishConfiguration(2_000)
			.publishServer("a", this.server.port())
			.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
	}

	@Test
	void onlyRequestsWithAKnownCredentialReachServersExceptOnPublicRoutes() throws Exception {
		assertThat(this.gateway.exchange(request("/read/1", "id-1", ""))).startsWith("HTTP/1.1 401")
			.doesNotContain("Retry-After");
		assertThat(this.gateway.exchange(request("/read/1", "id-2", "Test-Credential: k3\r\n")))
			.startsWith("HTTP/1.1 401");
		assertThat(this.server.requests()).isEmpty();
		assertThat(this.gateway.exchange(request("/read/1", "id-3", "Test-Credential: k2\r\nTest-Account: forged\r\n")))
			.startsWith("HTTP/1.1 200");
		assertThat(this.gateway.exchange(request("/public/1", "id-4", "Test-Credential: k3\r\nTest-Account: x\r\n")))
			.startsWith("HTTP/1.1 200");
		assertThat(this.server.requests()).hasSize(2);
		assertThat(this.server.requests().getFirst().headers()).containsEntry("test-account", "sese880")
			.doesNotContainKey("test-credential");
		assertThat(this.server.requests().getLast().headers()).doesNotContainKeys("test-account", "test-credential");
		assertThat(this.gateway.process().metrics().scrape()).contains("lovagevale_gateway_accounts_denials_total")
			.contains("UNKNOWN_CREDENTIAL");
	}

	@Test
	void removedCredentialStopsWorkingOnAnOpenConnection() throws Exception {
		try (Socket socket = this.gateway.connect()) {
			TestServer.write(socket, request("/read/1", "id-1", "Test-Credential: k1\r\n"));
			assertThat(TestGateway.readResponse(socket)).startsWith("HTTP/1.1 200");
			this.gateway.setAccounts(account("k2", "k3")).publishConfiguration(2_000);
			Thread.sleep(CONFIGURATION_READ_MS);
			TestServer.write(socket, request("/read/1", "id-2", "Test-Credential: k1\r\n"));
			assertThat(TestGateway.readResponse(socket)).startsWith("HTTP/1.1 401");
			TestServer.write(socket, request("/read/1", "id-3", "Test-Credential: k3\r\n"));
			assertThat(TestGateway.readResponse(socket)).startsWith("HTTP/1.1 200");
		}
	}

	@Test
	void unknownCredentialIsToBeRetriedWhileTheStoreIsDown() throws Exception {
		this.gateway.setStoreDown(true);
		Thread.sleep(CONTACT_EXCHANGE_MS);
		assertThat(this.gateway.exchange(request("/read/1", "id-1", "Test-Credential: k3\r\n")))
			.startsWith("HTTP/1.1 503")
			.contains("Retry-After");
		assertThat(this.gateway.exchange(request("/read/1", "id-2", "Test-Credential: k1\r\n")))
			.startsWith("HTTP/1.1 200");
	}

	@Test
	void relayedRequestKeepsItsCredentialBetweenEntryVms() throws Exception {
		Region west = new Region("west");
		this.gateway.setHomeRegions(west).publishConfiguration(2_000);
		try (TestGateway remote = new TestGateway(TestAddresses.host(2), new FailureDomain("east-1"),
				new Region("east"), List.of(this.gateway.peerAddress()))
			.setAccounts(account("k1"))
			.setHomeRegions(west)
			.publishConfiguration(2_000)
			.publishServer("a", this.server.port())
			.start()) {
			Thread.sleep(CONTACT_EXCHANGE_MS);
			assertThat(remote.exchange(request("/read/1", "id-1", "Test-Credential: k1\r\n")))
				.startsWith("HTTP/1.1 200");
			assertThat(remote.process().metrics().scrape()).contains("lovagevale_gateway_relays_total")
				.doesNotContain("lovagevale_gateway_sends_total");
		}
		assertThat(this.server.requests().getFirst().headers()).containsEntry("test-account", "sese880")
			.doesNotContainKeys("test-credential", "test-receiver");
	}

}
