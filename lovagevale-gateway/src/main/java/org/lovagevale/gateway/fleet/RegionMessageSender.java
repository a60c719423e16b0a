package org.lovagevale.gateway.fleet;

import org.lovagevale.base.VmName;
import org.lovagevale.core.message.RegionMessage;

/**
 * Sends messages to other entry processes.
 *
 * <p>
 * Messages may be lost.
 */
@FunctionalInterface
public interface RegionMessageSender {

	/**
	 * Sends a message.
	 * @param to the VM
	 * @param message the message
	 */
	void send(VmName to, RegionMessage message);

}
