package org.lovagevale.standins.caller;

import java.util.List;

/**
 * The answer to an address lookup.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param addresses the addresses, the preferred one first
 * @param validForMs how long a caller may keep them, in milliseconds
 * @param settingsVersion the settings in force at the VM that answered
 */
public record AddressLookupResult(List<EntryAddress> addresses, long validForMs, long settingsVersion) {

	/**
	 * Copies the list.
	 */
	public AddressLookupResult {
		addresses = List.copyOf(addresses);
	}

}
