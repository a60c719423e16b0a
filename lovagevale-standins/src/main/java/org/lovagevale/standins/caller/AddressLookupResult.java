package org.lovagevale.standins.caller;

import java.util.List;

/**
 * The result of an address lookup.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param addresses the addresses, in order of preference
 * @param validForMs the time for which a caller may use the addresses, in milliseconds
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
