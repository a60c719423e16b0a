package org.lovagevale.standins.caller;

/**
 * The address of an entry VM, as returned by an address lookup.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the name of the VM
 * @param address its IP address
 * @param port its port for callers
 * @param region its region
 * @param domain its failure domain
 * @param keyPrefix the prefix of the idempotency keys that this VM owns, empty if unknown
 */
public record EntryAddress(String vm, String address, int port, String region, String domain, String keyPrefix) {

	/**
	 * Returns an address that does not come from a lookup.
	 * @param host the IP address
	 * @param port the port
	 * @return the address, with empty name, region, failure domain and key prefix
	 */
	public static EntryAddress of(String host, int port) {
		return new EntryAddress("", host, port, "", "", "");
	}

	String baseUrl() {
		return "http://" + this.address + ":" + this.port;
	}

}
