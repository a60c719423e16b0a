package org.lovagevale.core.memory;

/**
 * What the bytes belong to that a process holds for its callers.
 */
public enum HeldKind {

	/** The heads of requests. */
	REQUEST_HEAD,

	/** The bodies of requests that wait for a server or may be sent again. */
	REQUEST_BODY,

	/** The heads of responses of servers and entry VMs. */
	RESPONSE_HEAD,

	/** The parts of response bodies that callers have not taken yet. */
	RESPONSE_BODY

}
