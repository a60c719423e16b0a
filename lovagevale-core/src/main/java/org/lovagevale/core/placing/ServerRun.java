package org.lovagevale.core.placing;

import org.lovagevale.base.ServerName;
import org.lovagevale.core.catalog.BackendInstance;

/**
 * One run of a server, from its start to its end. A later run of a server with the same
 * name differs in its start.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param server the server
 * @param startedAtEpochMs the start of the run, in milliseconds since the epoch
 */
public record ServerRun(ServerName server, long startedAtEpochMs) {

	/**
	 * Returns the run of a listed server.
	 * @param instance the listed server
	 * @return its run
	 */
	public static ServerRun of(BackendInstance instance) {
		return new ServerRun(instance.id(), instance.startedAtEpochMs());
	}

}
