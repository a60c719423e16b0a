package org.lovagevale.gateway.http;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.catalog.ClientAccount;
import org.lovagevale.core.limit.LimitDecision;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.gateway.fleet.AccountLimitClient;

/**
 * Charges requests to the limits of their client accounts.
 *
 * <p>
 * Invariant: a request is charged by the process that accepted it from the caller. A
 * request that claims to be relayed is charged again, unless it names the incarnation of
 * this process, which callers do not know. Confined to the event loop.
 */
public final class AccountLimits {

	private final AccountLimitClient client;

	private final Roster roster;

	/**
	 * Creates an instance.
	 * @param client leases tokens of the accounts
	 * @param roster states the incarnation of this process
	 */
	public AccountLimits(AccountLimitClient client, Roster roster) {
		this.client = client;
		this.roster = roster;
	}

	/**
	 * Charges a request.
	 * @param account the client account, or {@code null} if there is none
	 * @param relayReceiver the incarnation that the request is relayed to, or
	 * {@code null} if none is stated
	 * @return the decision, which may be pending
	 */
	LimitDecision charge(@Nullable ClientAccount account, @Nullable String relayReceiver) {
		boolean relayed = this.roster.self().incarnation().toString().equals(relayReceiver);
		return (account == null || relayed) ? LimitDecision.admitted() : this.client.request(account);
	}

}
