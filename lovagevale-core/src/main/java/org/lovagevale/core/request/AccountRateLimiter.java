package org.lovagevale.core.request;

import java.util.HashMap;
import java.util.Map;

import org.lovagevale.base.AccountName;
import org.lovagevale.core.limit.TokenBucket;
import org.lovagevale.settings.model.AccountSettings;

/**
 * Limits the request rate of each client account in this process.
 *
 * <p>
 * Keeps a token bucket only for accounts that have a rate limit. Not thread-safe.
 */
final class AccountRateLimiter {

	private final Map<AccountName, TokenBucket> buckets = new HashMap<>();

	/**
	 * Removes the buckets of accounts that are no longer in the settings.
	 * @param settingsIndex the index of the settings in force
	 */
	void retainAccounts(SettingsIndex settingsIndex) {
		this.buckets.keySet().removeIf((name) -> settingsIndex.account(name) == null);
	}

	/**
	 * Takes a token for a request.
	 * @param account the account
	 * @param now the monotonic time in milliseconds
	 * @return 0 if the account is within its rate limit, otherwise the time in
	 * milliseconds until the next request is allowed
	 */
	long acquire(AccountSettings account, long now) {
		if (account.ratePerSecond() == 0) {
			return 0;
		}
		TokenBucket bucket = this.buckets.get(account.name());
		int capacity = account.burst() + 1;
		if (bucket == null || !bucket.hasLimits(account.ratePerSecond(), capacity)) {
			bucket = new TokenBucket(account.ratePerSecond(), capacity, capacity, now);
			this.buckets.put(account.name(), bucket);
		}
		return (bucket.tryTake(now)) ? 0 : bucket.waitMs();
	}

}
