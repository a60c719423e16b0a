package org.lovagevale.core.limit;

import org.lovagevale.base.AccountName;

/**
 * Is told of each decision on a request of an account that has a limit.
 */
@FunctionalInterface
public interface LimitListener {

	/**
	 * Called before the request is told.
	 * @param account the account
	 * @param outcome how the request was decided
	 */
	void decided(AccountName account, LimitOutcome outcome);

}
