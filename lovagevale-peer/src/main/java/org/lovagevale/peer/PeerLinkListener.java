package org.lovagevale.peer;

import org.lovagevale.core.message.Hello;
import org.lovagevale.core.message.PeerMessage;

/**
 * Receives what happens on a link.
 *
 * <p>
 * Called on the event loop of the link.
 */
interface PeerLinkListener {

	/**
	 * Decides on the first message of the other side.
	 * @param link the link
	 * @param hello the message
	 * @throws PeerException if the link is to be closed
	 */
	void helloReceived(PeerLink link, Hello hello) throws PeerException;

	/**
	 * Takes a message after the first one.
	 * @param link the link
	 * @param message the message
	 */
	void messageReceived(PeerLink link, PeerMessage message);

	/**
	 * Learns that the link is closed.
	 * @param link the link
	 */
	void linkClosed(PeerLink link);

}
