package org.lovagevale.gateway.http;

import java.io.IOException;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.lovagevale.gateway.ServerProtocol;

/**
 * One connection to a backend server, used for one request at a time.
 *
 * <p>
 * Invariants: a response is handed over only if it bears the identity of the request;
 * others are skipped and the connection is not used again. Bytes that arrive while no
 * request waits close it. Confined to the event loop.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {

	/** Servers that state no idle timeout are trusted this long, in milliseconds. */
	static final long DEFAULT_IDLE_LIMIT_MS = 4_000;

	/** Responses of other requests that may precede the expected one. */
	private static final int MAX_SKIPPED_RESPONSES = 3;

	private static final long MILLIS_PER_SECOND = 1_000;

	/** The server's timeout may run out while a request is on its way. */
	private static final double IDLE_TIMEOUT_FRACTION = 0.7;

	private final ServerProtocol protocol;

	private final BackendResponseDecoder decoder;

	private final ReleaseListener releaseListener;

	private @Nullable ChannelHandlerContext context;

	private @Nullable BackendListener listener;

	private String expectedRequestId = "";

	private boolean requestComplete;

	private boolean responseStarted;

	private boolean skipping;

	private boolean informational;

	private boolean reusable;

	private int skipped;

	private long idleLimitMs = DEFAULT_IDLE_LIMIT_MS;

	private long idleSince;

	BackendConnection(ServerProtocol protocol, BackendResponseDecoder decoder, ReleaseListener releaseListener) {
		this.protocol = protocol;
		this.decoder = decoder;
		this.releaseListener = releaseListener;
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

	long idleMs(long now) {
		return now - this.idleSince;
	}

	long idleLimitMs() {
		return this.idleLimitMs;
	}

	void markIdle(long now) {
		this.idleSince = now;
	}

	boolean isUsable() {
		return this.listener == null && channel().isActive();
	}

	/**
	 * Begins a request.
	 * @param newListener takes what happens
	 * @param request the head
	 * @param requestId the identity of the request, empty if its response bears none
	 */
	void beginRequest(BackendListener newListener, HttpRequest request, String requestId) {
		this.listener = newListener;
		this.expectedRequestId = requestId;
		this.requestComplete = false;
		this.responseStarted = false;
		this.skipping = false;
		this.informational = false;
		this.reusable = true;
		this.skipped = 0;
		this.decoder.expectResponseTo(request.method().equals(HttpMethod.HEAD));
		context().write(request);
	}

	void write(HttpContent content) {
		if (content instanceof LastHttpContent) {
			this.requestComplete = true;
		}
		context().writeAndFlush(content);
	}

	void setReading(boolean reading) {
		channel().config().setAutoRead(reading);
	}

	/**
	 * Gives up the request and closes the connection, so that the server stops work.
	 */
	void abandon() {
		this.listener = null;
		context().close();
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.listener == null) {
			ReferenceCountUtil.release(message);
			ctx.close();
			return;
		}
		if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
			ReferenceCountUtil.release(message);
			fail("malformed response: " + object.decoderResult().cause().getMessage());
			return;
		}
		if (message instanceof HttpResponse response) {
			readHead(response);
		}
		if (message instanceof HttpContent content) {
			readContent(content);
		}
	}

	private void readHead(HttpResponse response) {
		this.informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		if (this.informational) {
			return;
		}
		if (!this.expectedRequestId.isEmpty()) {
			String id = this.protocol.requestId(response.headers());
			this.skipping = !this.expectedRequestId.equals(id);
			if (id == null) {
				fail("response without the identity of its request");
				return;
			}
		}
		if (this.skipping) {
			this.reusable = false;
			if (++this.skipped > MAX_SKIPPED_RESPONSES) {
				fail("only responses to other requests");
			}
			return;
		}
		this.responseStarted = true;
		this.reusable = this.reusable && HttpUtil.isKeepAlive(response)
				&& (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response));
		updateIdleLimit(response);
		currentListener().headReceived(response);
	}

	private BackendListener currentListener() {
		BackendListener known = this.listener;
		if (known == null) {
			throw new IllegalStateException("no request waits");
		}
		return known;
	}

	private void updateIdleLimit(HttpResponse response) {
		String keepAlive = response.headers().get("Keep-Alive");
		if (keepAlive == null) {
			return;
		}
		for (String part : keepAlive.split(",")) {
			String trimmed = part.trim();
			if (trimmed.startsWith("timeout=")) {
				try {
					long seconds = Long.parseLong(trimmed.substring("timeout=".length()));
					this.idleLimitMs = (long) (seconds * MILLIS_PER_SECOND * IDLE_TIMEOUT_FRACTION);
				}
				catch (NumberFormatException ex) {
					// The header is a hint; without it the default stays.
					this.idleLimitMs = DEFAULT_IDLE_LIMIT_MS;
				}
			}
		}
	}

	private void readContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		BackendListener active = this.listener;
		if (this.informational || this.skipping || active == null) {
			content.release();
			if (last) {
				this.skipping = false;
				this.informational = false;
			}
			return;
		}
		active.contentReceived(content);
		if (last && this.listener != null) {
			completeResponse();
		}
	}

	private void completeResponse() {
		BackendListener completed = currentListener();
		this.listener = null;
		boolean keep = this.reusable && this.requestComplete && channel().isActive();
		if (!keep) {
			context().close();
		}
		completed.ended();
		if (keep) {
			channel().config().setAutoRead(true);
			this.releaseListener.released(this);
		}
	}

	private void fail(String reason) {
		BackendListener active = this.listener;
		this.listener = null;
		context().close();
		if (active != null) {
			active.failed(reason);
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		BackendListener active = this.listener;
		if (active != null && this.responseStarted) {
			active.readComplete();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		BackendListener active = this.listener;
		if (active != null && ctx.channel().isWritable()) {
			active.writable();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		fail("connection closed by the server");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		// A reset must be seen before the end of the channel, which would otherwise make
		// a
		// response without a length look complete.
		fail((cause instanceof IOException) ? "connection lost: " + cause.getMessage() : String.valueOf(cause));
	}

	/**
	 * Takes back connections that can be used again.
	 */
	@FunctionalInterface
	interface ReleaseListener {

		/**
		 * A connection is idle.
		 * @param connection the connection
		 */
		void released(BackendConnection connection);

	}

}
