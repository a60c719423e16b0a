package org.lovagevale.core.message;

/**
 * What a process knows of a backend server.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param server the name; with {@link #LEAVING} also that of an entry VM
 * @param state the name of its {@code ServerState}, or {@link #LEAVING}
 * @param boot the identifier of its run, empty if not known
 * @param ageMs time since that was observed in milliseconds
 */
public record ServerEntry(String server, String state, String boot, long ageMs) {

	/** The platform lists it as leaving; told apart from what the server reports. */
	public static final String LEAVING = "LEAVING";

}
