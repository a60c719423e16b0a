package org.lovagevale.core.limit;

import org.lovagevale.core.message.AccountAsk;

/**
 * Connects the leased tokens of an entry VM to the limiter of its region.
 */
public interface LimiterLink {

	/**
	 * Asks the limiter for tokens. The answer is given to {@link TokenLeases#handleGrant}
	 * later or before this method returns.
	 * @param ask the question
	 */
	void ask(AccountAsk ask);

	/**
	 * Reports that the limiter did not answer in time.
	 * @param waitedMs the time for which an answer was awaited, in milliseconds
	 */
	void limiterSilent(long waitedMs);

	/**
	 * Returns the number of entry VMs in this region that were known recently.
	 * @return the number with this one
	 */
	int regionVms();

}
