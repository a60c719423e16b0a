package org.lovagevale.core.message;

/**
 * The state of a backend server as known to a process.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param server the name of the server, or of an entry VM if the state is
 * {@link #LEAVING}
 * @param state the name of its {@code ServerState}, or {@link #LEAVING}
 * @param boot the boot identifier of the server, empty if not known
 * @param ageMs the time since the state was observed in milliseconds
 */
public record ServerEntry(String server, String state, String boot, long ageMs) {

	/**
	 * The platform lists the server or VM as leaving. This value is distinct from the
	 * states that a server itself reports.
	 */
	public static final String LEAVING = "LEAVING";

}
