package org.lovagevale.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import org.jspecify.annotations.Nullable;

/**
 * The close of a connection of a caller, after its last response or at once.
 *
 * <p>
 * Invariant: once the connection is closing, no further request on it is handled.
 * Confined to the event loop.
 */
final class CallerClosing {

	/**
	 * Maximum time between the last response and the close, in milliseconds. A caller
	 * that reads 540 KB at 1 Mbit/s needs 4.4 s.
	 */
	private static final long LINGER_MS = 5_000;

	/**
	 * Time before the end of a planned stop at which a connection is closed after its
	 * last response, in milliseconds.
	 */
	private static final long LINGER_STOP_MARGIN_MS = 300;

	private final RequestRouter router;

	private final CallerCloseRecorder recorder;

	private boolean begun;

	/**
	 * Whether a part of the body of the last request was not read before its response.
	 */
	private boolean bodyUnread;

	/** Closes the connection after the last response. */
	private @Nullable LingeringCloseHandler lingeringHandler;

	/** Monotonic time in milliseconds at which the last response was written, or -1. */
	private long lingeringSince = -1;

	/**
	 * Creates the close of a connection that is open.
	 * @param router counts the close
	 * @param recorder explains the close
	 */
	CallerClosing(RequestRouter router, CallerCloseRecorder recorder) {
		this.router = router;
		this.recorder = recorder;
	}

	boolean hasBegun() {
		return this.begun;
	}

	void begin() {
		this.begun = true;
	}

	boolean isBodyUnread() {
		return this.bodyUnread;
	}

	boolean isLingering() {
		return this.lingeringSince >= 0;
	}

	/**
	 * Prepares the close after the last response.
	 * @param context the context of the connection
	 * @param bodyIncomplete whether a part of a request body is not read
	 */
	void beginAfterLastResponse(ChannelHandlerContext context, boolean bodyIncomplete) {
		this.begun = true;
		this.bodyUnread = bodyIncomplete;
		LingeringCloseHandler handler = new LingeringCloseHandler(LINGER_MS);
		this.lingeringHandler = handler;
		context.pipeline().addFirst(handler);
	}

	/**
	 * Closes the connection once all that was written before has been taken.
	 * @param context the context of the connection
	 * @param onWritten is called before the close, unless writing failed
	 */
	void closeAfterWrites(ChannelHandlerContext context, Runnable onWritten) {
		context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((ChannelFutureListener) (write) -> {
			if (write.isSuccess()) {
				onWritten.run();
				this.lingeringSince = this.router.now();
			}
			write.channel().close();
		});
	}

	/**
	 * Closes a connection that waits for the close by its caller when a planned stop
	 * ends.
	 */
	void closeAtEndOfStop() {
		LingeringCloseHandler handler = this.lingeringHandler;
		if (handler != null && this.router.isStopping() && this.router.stopTimeLeftMs() <= LINGER_STOP_MARGIN_MS) {
			handler.closeNow();
		}
	}

	void report() {
		CallerClose known = this.recorder.report(isLingering() ? this.router.now() - this.lingeringSince : 0);
		if (known != null) {
			this.router.countCallerClose(known);
		}
	}

}
