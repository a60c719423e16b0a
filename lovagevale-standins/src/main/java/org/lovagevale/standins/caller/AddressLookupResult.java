package org.lovagevale.standins.caller;

import java.util.List;

/**
 * The response to an address lookup.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param addresses the addresses, the preferred one first
 * @param validForMs how long a caller may use the addresses, in milliseconds
 * @param settingsVersion the settings version in use on the VM that answered
 */
public record AddressLookupResult(List<EntryAddress> addresses, long validForMs, long settingsVersion) {

	/**
	 * Copies the list.
	 */
	public AddressLookupResult {
		addresses = List.copyOf(addresses);
	}

}
