package org.lovagevale.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;
import org.lovagevale.base.Clock;

/**
 * Estimates for how long received data has waited because the event loop was blocked or
 * the process did not run.
 *
 * <p>
 * The event loop reads from its connections before it runs the periodic work that is due,
 * so data that is read after a delay is read while the last tick is overdue. The time by
 * which it is overdue is an upper bound of the time that the data has waited, except for
 * one interval. Data may also have arrived at the end of the delay; Linux tells for each
 * connection when that was. Confined to the event loop.
 */
public final class ReadDelay {

	/**
	 * Delay in milliseconds up to which all data counts as received at its begin, which
	 * saves a system call for each request.
	 */
	private static final long NEGLIGIBLE_DELAY_MS = 50;

	private final Clock clock;

	private final long tickIntervalMs;

	private long lastTickAt;

	/**
	 * Creates an instance without a delay.
	 * @param clock the clock
	 * @param tickIntervalMs the interval of the periodic work, in milliseconds
	 */
	public ReadDelay(Clock clock, long tickIntervalMs) {
		this.clock = clock;
		this.tickIntervalMs = tickIntervalMs;
		this.lastTickAt = clock.millis();
	}

	/**
	 * Records that the periodic work runs.
	 */
	public void recordTick() {
		this.lastTickAt = this.clock.millis();
	}

	/**
	 * Returns by how much the periodic work is overdue.
	 * @return the delay in milliseconds, not negative
	 */
	public long millis() {
		return Math.max(0, this.clock.millis() - this.lastTickAt - this.tickIntervalMs);
	}

	/**
	 * Returns for how long the data that is read now from a connection has waited.
	 * @param channel the channel of the connection
	 * @return the time in milliseconds, at most {@link #millis()}
	 */
	long millisOf(Channel channel) {
		long maxMs = millis();
		if (maxMs <= NEGLIGIBLE_DELAY_MS || !(channel instanceof EpollSocketChannel socket)) {
			return maxMs;
		}
		try {
			return waitedMs(maxMs, socket.tcpInfo());
		}
		catch (ChannelException ex) {
			// Without the time of the system, the data counts as received at the begin
			// of the delay.
			return maxMs;
		}
	}

	/**
	 * Returns for how long the last received data of a connection has waited.
	 * @param maxMs the upper bound, in milliseconds
	 * @param info what the system tells of the connection
	 * @return the time in milliseconds
	 */
	static long waitedMs(long maxMs, EpollTcpInfo info) {
		// A system that does not record these times reports 0 for all of them.
		boolean recorded = info.lastDataRecv() > 0 || info.lastDataSent() > 0 || info.lastAckRecv() > 0;
		return recorded ? Math.min(maxMs, info.lastDataRecv()) : maxMs;
	}

}
