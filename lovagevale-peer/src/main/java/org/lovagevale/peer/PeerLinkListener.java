package org.lovagevale.peer;

import org.lovagevale.core.message.Hello;
import org.lovagevale.core.message.PeerMessage;

/**
 * Receives the events of a link.
 *
 * <p>
 * Called on the event loop of the link.
 */
interface PeerLinkListener {

	/**
	 * Called when the hello message, the first message of the peer, is received.
	 * @param link the link
	 * @param hello the hello message
	 * @throws PeerException if the peer is not accepted and the link must be closed
	 */
	void helloReceived(PeerLink link, Hello hello) throws PeerException;

	/**
	 * Called when a message other than the hello message is received.
	 * @param link the link
	 * @param message the message
	 */
	void messageReceived(PeerLink link, PeerMessage message);

	/**
	 * Called when the link has been closed.
	 * @param link the link
	 */
	void linkClosed(PeerLink link);

}
