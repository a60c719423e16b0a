package org.lovagevale.gateway.fleet;

import org.lovagevale.base.VmName;
import org.lovagevale.core.message.RegionMessage;

/**
 * Sends messages to other entry processes.
 *
 * <p>
 * Delivery is not guaranteed, and a lost message is not reported to the sender.
 */
@FunctionalInterface
public interface RegionMessageSender {

	/**
	 * Sends a message.
	 * @param to the VM of the receiver
	 * @param message the message
	 */
	void send(VmName to, RegionMessage message);

}
