package org.lovagevale.gateway;

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
 * Guards against entry VMs that admit more than the limit of an account together,
 * requests that are charged twice, and callers that avoid the limit with the header of a
 * relay.
 */
@Timeout(60)
class AccountLimitTests {

	private static final int REQUESTS = 60;

	/** Time until a new limiter grants its whole share and its bucket is full. */
	private static final long LIMITER_START_MS = 5_000;

	/** Requests of an account in one window, with all that may exceed the limit. */
	private static final int MAX_ADMITTED = (int) ((4 * 5 + 4) * 1.25 + 20);

	private TestServer server;

	private TestGateway gateway;

	private static ClientAccount account(String name, double rate) {
		return new ClientAccount(new AccountName(name), Set.of(name + "-key"), OptionalInt.empty(),
				new RateLimit(rate, rate), Set.of());
	}

	private static TestGateway withAccounts(TestGateway gateway, TestServer server) throws Exception {
		return gateway.setAccounts(account("small", 4), account("large", 1_000), account("free", 0))
			.publishConfiguration(2_000)
			.publishServer("a", server.port())
			.start();
	}

	private static String send(TestGateway gateway, String account, int number, String headers) throws Exception {
		return gateway.exchange(TestGateway.getRequest("/read/1", account + number)
			.replaceFirst("\r\n", "\r\nTest-Credential: " + account + "-key\r\n" + headers));
	}

	private static int countAdmitted(TestGateway gateway, String account, int requests, String headers)
			throws Exception {
		int admitted = 0;
		for (int i = 0; i < requests; i++) {
			String response = send(gateway, account, i, headers);
			if (response.startsWith("HTTP/1.1 200")) {
				admitted++;
			}
			else {
				assertThat(response).startsWith("HTTP/1.1 429").contains("Retry-After");
			}
		}
		return admitted;
	}

	@BeforeEach
	void start() throws Exception {
		this.server = new TestServer((request, socket) -> TestServer.write(socket, TestServer.ok(request, "hello")));
		this.gateway = withAccounts(new TestGateway(List.of()), this.server);
	}

	@AfterEach
	void stop() throws Exception {
		this.gateway.close();
		this.server.close();
	}

	@Test
	void requestsBeyondTheLimitAreRefusedAndThoseOfOthersAreNot() throws Exception {
		Thread.sleep(LIMITER_START_MS);
		int admitted = countAdmitted(this.gateway, "small", REQUESTS, "");
		assertThat(admitted).isBetween(4, MAX_ADMITTED);
		assertThat(countAdmitted(this.gateway, "free", 20, "")).isEqualTo(20);
		assertThat(countAdmitted(this.gateway, "large", 20, "")).isEqualTo(20);
		assertThat(this.server.requests()).hasSize(admitted + 40);
		assertThat(this.gateway.process().metrics().scrape()).contains("lovagevale_gateway_accounts_limited_total")
			.contains("cause=\"RATE_LIMIT\"");
	}

	@Test
	void callerThatStatesARelayIsCharged() throws Exception {
		Thread.sleep(LIMITER_START_MS);
		int admitted = countAdmitted(this.gateway, "small", REQUESTS,
				"Test-Caller: 10.0.0.1\r\nTest-Receiver: 1f-2a\r\n");
		assertThat(admitted).isBetween(4, MAX_ADMITTED);
	}

	@Test
	void entryVmsOfARegionShareTheLimit() throws Exception {
		try (TestGateway second = withAccounts(new TestGateway(TestAddresses.host(2), new FailureDomain("west-1"),
				new Region("west"), List.of(this.gateway.peerAddress())), this.server)) {
			Thread.sleep(LIMITER_START_MS);
			int admitted = countAdmitted(this.gateway, "small", REQUESTS, "")
					+ countAdmitted(second, "small", REQUESTS, "");
			assertThat(admitted).isBetween(4, MAX_ADMITTED);
			assertThat(countAdmitted(this.gateway, "large", 20, "")).isEqualTo(20);
			assertThat(countAdmitted(second, "large", 20, "")).isEqualTo(20);
		}
	}

	@Test
	void relayedRequestIsChargedOnce() throws Exception {
		Region west = new Region("west");
		this.gateway.setHomeRegions(west);
		this.gateway.publishConfiguration(2_000);
		try (TestGateway remote = withAccounts(new TestGateway(TestAddresses.host(2), new FailureDomain("east-1"),
				new Region("east"), List.of(this.gateway.peerAddress()))
			.setHomeRegions(west), this.server)) {
			Thread.sleep(LIMITER_START_MS);
			assertThat(countAdmitted(remote, "large", 5, "")).isEqualTo(5);
			assertThat(this.server.requests()).hasSize(5);
			assertThat(remote.process().metrics().scrape()).contains("lovagevale_gateway_accounts_limited_total")
				.contains("lovagevale_gateway_relays_total");
			assertThat(this.gateway.process().metrics().scrape())
				.doesNotContain("lovagevale_gateway_accounts_limited_total");
		}
	}

}
