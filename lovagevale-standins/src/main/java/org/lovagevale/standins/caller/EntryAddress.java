package org.lovagevale.standins.caller;

/**
 * An address of an entry VM, as the system gives it to callers.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the VM
 * @param address its IP address
 * @param port its port for callers
 * @param region its region
 * @param domain its failure domain
 * @param keyPrefix the first part of idempotency keys for this VM, empty if it gave none
 */
public record EntryAddress(String vm, String address, int port, String region, String domain, String keyPrefix) {

	/**
	 * Returns an address that is known from elsewhere.
	 * @param host the IP address
	 * @param port the port
	 * @return the address, without a name and a key prefix
	 */
	public static EntryAddress of(String host, int port) {
		return new EntryAddress("", host, port, "", "", "");
	}

	String baseUrl() {
		return "http://" + this.address + ":" + this.port;
	}

}
