package org.lovagevale.gateway.http;

import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.LogLine;
import org.lovagevale.gateway.GatewayMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes responses to the connection of a caller.
 *
 * <p>
 * Invariant: after a part of a response that could not be written, nothing more is
 * written. Confined to the event loop.
 */
final class CallerOutput {

	private static final Logger LOGGER = LoggerFactory.getLogger(CallerOutput.class);

	private final RequestRouter router;

	private final CallerCloseRecorder closeRecorder;

	private final Listener listener;

	/** What is written and not taken yet. */
	private final CallerBacklog backlog;

	private final ChannelFutureListener writeListener = (write) -> writeEnded(write.cause());

	private @Nullable ChannelHandlerContext context;

	/**
	 * Whether a part of a response could not be written; nothing more is written then.
	 */
	private boolean failed;

	/** Number of parts of responses that wait to be passed to the operating system. */
	private int pendingWrites;

	/**
	 * Creates the output of a new connection.
	 * @param router creates the account of what is not taken
	 * @param closeRecorder counts what could not be written
	 * @param listener is notified of what becomes of the written parts
	 */
	CallerOutput(RequestRouter router, CallerCloseRecorder closeRecorder, Listener listener) {
		this.router = router;
		this.closeRecorder = closeRecorder;
		this.listener = listener;
		this.backlog = router.createBacklog(listener::outputEvicted);
	}

	void start(ChannelHandlerContext added) {
		this.context = added;
	}

	private ChannelHandlerContext context() {
		ChannelHandlerContext known = this.context;
		if (known == null) {
			throw new IllegalStateException("connection is not open yet");
		}
		return known;
	}

	Channel channel() {
		return context().channel();
	}

	/**
	 * Writes a part of a response.
	 * @param part the part, which is released once it is written
	 */
	void write(Object part) {
		if (this.failed) {
			ReferenceCountUtil.release(part);
			return;
		}
		this.pendingWrites++;
		context().write(part).addListener(this.writeListener);
	}

	void flush() {
		context().flush();
	}

	private void writeEnded(@Nullable Throwable cause) {
		this.pendingWrites--;
		if (cause == null) {
			this.backlog.recordTaken(this.router.now());
		}
		this.listener.partWritten();
		if (cause != null) {
			this.closeRecorder.recordUnwrittenPart();
			fail(cause);
		}
	}

	/**
	 * Ends the output after a part of a response could not be written. Without that part,
	 * the following ones would be taken for it, and the next response for the rest of
	 * this one.
	 * @param cause the error
	 */
	void fail(Throwable cause) {
		if (cause instanceof ClosedChannelException || this.failed) {
			return;
		}
		this.failed = true;
		this.router.countFailedWrite();
		LOGGER.warn("{}",
				LogLine.event("response.unwritten")
					.with("caller", remoteHost())
					.with("directBytes", GatewayMetrics.directMemoryBytes())
					.with("why", String.valueOf(cause)));
		this.listener.writeFailed(cause);
	}

	boolean hasFailed() {
		return this.failed;
	}

	boolean hasPendingWrites() {
		return this.pendingWrites > 0;
	}

	/**
	 * Tells whether more can be written without queueing it.
	 * @return {@code false} if the caller reads more slowly than data is written
	 */
	boolean isWritable() {
		return channel().isWritable() && (this.backlog.isEmpty() || !this.router.isResponseMemoryFull());
	}

	/**
	 * Records what the caller has not taken.
	 */
	void updateBacklog() {
		this.backlog.update(channel(), this.router.now());
	}

	/**
	 * Returns for how long the caller has taken nothing of what was written.
	 * @param now the monotonic time in milliseconds
	 * @return the time in milliseconds, 0 if nothing is pending
	 */
	long untakenMs(long now) {
		return this.backlog.untakenMs(now);
	}

	/**
	 * Sets whether a close resets the connection. A response without a length ends with
	 * its connection. Until all of it is written, every other close, also that of a
	 * process that is killed, resets the connection.
	 * @param reset {@code true} if a close is to be a reset
	 */
	void resetOnClose(boolean reset) {
		if (channel().isOpen()) {
			channel().config().setOption(ChannelOption.SO_LINGER, reset ? 0 : -1);
		}
	}

	String remoteAddress() {
		return (channel().remoteAddress() instanceof InetSocketAddress address)
				? address.getHostString() + ":" + address.getPort() : "";
	}

	String remoteHost() {
		return (channel().remoteAddress() instanceof InetSocketAddress address) ? address.getHostString() : "";
	}

	/**
	 * Is notified of what becomes of the written parts.
	 */
	interface Listener {

		/**
		 * Called when a part was written, or could not be.
		 */
		void partWritten();

		/**
		 * Called once when a part could not be written to the open connection.
		 * @param cause the error
		 */
		void writeFailed(Throwable cause);

		/**
		 * Called when what the caller does not take is to be given up, since the process
		 * is full.
		 */
		void outputEvicted();

	}

}
