package org.lovagevale.core.request;

import java.util.HashMap;
import java.util.Map;

import org.lovagevale.base.AccountName;
import org.lovagevale.settings.model.AccountSettings;

/**
 * Enforces the rate of each client account in this process.
 *
 * <p>
 * Holds a bucket only for accounts with a rate. Not thread-safe.
 */
final class AccountRates {

	private final Map<AccountName, TokenBucket> buckets = new HashMap<>();

	/**
	 * Forgets accounts that are no longer in the settings.
	 * @param catalog the catalog in force
	 */
	void retain(Catalog catalog) {
		this.buckets.keySet().removeIf((name) -> catalog.account(name) == null);
	}

	/**
	 * Counts a request.
	 * @param account the account
	 * @param now the monotonic time in milliseconds
	 * @return 0 if the account is within its rate, else the time until it is again, in
	 * milliseconds
	 */
	long take(AccountSettings account, long now) {
		if (account.ratePerSecond() == 0) {
			return 0;
		}
		TokenBucket bucket = this.buckets.get(account.name());
		if (bucket == null || !bucket.hasLimits(account.ratePerSecond(), account.burst())) {
			bucket = new TokenBucket(account.ratePerSecond(), account.burst(), now);
			this.buckets.put(account.name(), bucket);
		}
		return (bucket.tryTake(now)) ? 0 : bucket.waitMs();
	}

}
