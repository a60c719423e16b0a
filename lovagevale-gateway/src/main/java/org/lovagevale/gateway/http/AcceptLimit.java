package org.lovagevale.gateway.http;

import io.netty.channel.Channel;

/**
 * Limits the number of open connections of a port. While it is reached, no connection is
 * accepted; further ones wait in the queue of the operating system.
 *
 * <p>
 * Invariant: no more than the limit are open, unless it was lifted. Confined to the event
 * loop.
 */
final class AcceptLimit {

	private final int maxConnections;

	private int count;

	private boolean lifted;

	/**
	 * Creates a limit for a port without connections.
	 * @param maxConnections the maximum number of open connections
	 */
	AcceptLimit(int maxConnections) {
		if (maxConnections < 1) {
			throw new IllegalArgumentException("limit of " + maxConnections + " connections, expected at least 1");
		}
		this.maxConnections = maxConnections;
	}

	/**
	 * Records a connection that was accepted.
	 * @param connection the channel of the connection
	 */
	void accepted(Channel connection) {
		Channel listening = connection.parent();
		this.count++;
		if (isReached()) {
			listening.config().setAutoRead(false);
		}
		connection.closeFuture().addListener((closed) -> {
			this.count--;
			if (!isReached() && listening.isOpen()) {
				listening.config().setAutoRead(true);
			}
		});
	}

	/**
	 * Tells whether no further connection is accepted.
	 * @return {@code true} if the maximum number of connections is open
	 */
	boolean isReached() {
		return !this.lifted && this.count >= this.maxConnections;
	}

	/**
	 * Returns the maximum number of open connections.
	 * @return the number
	 */
	int maxConnections() {
		return this.maxConnections;
	}

	/**
	 * Accepts all connections that wait, since the port is about to be closed, which
	 * would reset them.
	 * @param listening the listening channel
	 */
	void lift(Channel listening) {
		this.lifted = true;
		listening.config().setAutoRead(true);
	}

}
