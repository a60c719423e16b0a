package org.lovagevale.gateway.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.LogLine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection of a caller.
 *
 * <p>
 * Invariants: requests are handled one after the other, so responses leave in the order
 * of the requests; a response that closes the connection is the last one. Confined to the
 * event loop.
 */
final class FrontConnection extends ChannelInboundHandlerAdapter implements CallerLink {

	/** Decoded parts of later requests that may wait before reading stops. */
	private static final int MOST_WAITING = 64;

	/**
	 * Time to read what a caller still sends after an early response, in milliseconds.
	 */
	private static final long LINGER_MS = 1_000;

	private static final int BAD_REQUEST = 400;

	private static final int HEADERS_TOO_LARGE = 431;

	private static final int REQUEST_TIMEOUT = 408;

	private static final Logger LOGGER = LoggerFactory.getLogger(FrontConnection.class);

	private final RequestIntake intake;

	private final ArrayDeque<HttpObject> waiting = new ArrayDeque<>();

	private @Nullable ChannelHandlerContext context;

	private @Nullable Exchange exchange;

	private boolean responding;

	private boolean discarding;

	private boolean keepAlive = true;

	private boolean oldVersion;

	private boolean headRequest;

	private boolean chunked;

	private boolean closing;

	private boolean draining;

	private boolean processing;

	private long headStartedAt = -1;

	private long lastActivityAt;

	FrontConnection(RequestIntake intake) {
		this.intake = intake;
		this.lastActivityAt = intake.now();
	}

	private ChannelHandlerContext context() {
		ChannelHandlerContext known = this.context;
		if (known == null) {
			throw new IllegalStateException("connection is not open yet");
		}
		return known;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	/**
	 * Notes that bytes arrived, before they are decoded.
	 */
	void bytesArrived() {
		this.lastActivityAt = this.intake.now();
		if (this.exchange == null && !this.discarding && this.headStartedAt < 0) {
			this.headStartedAt = this.lastActivityAt;
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.closing && !this.discarding) {
			ReferenceCountUtil.release(message);
			return;
		}
		this.waiting.add((HttpObject) message);
		process();
		if (this.waiting.size() > MOST_WAITING) {
			setReading(false);
		}
	}

	private void process() {
		if (this.processing) {
			return;
		}
		this.processing = true;
		while (!this.waiting.isEmpty() && step()) {
			// Each step takes one object.
		}
		this.processing = false;
	}

	private boolean step() {
		Exchange current = this.exchange;
		if (current != null) {
			if (current.isBodyComplete()) {
				return false;
			}
			body(current, this.waiting.remove());
			return true;
		}
		HttpObject next = this.waiting.remove();
		if (this.discarding) {
			discard(next);
		}
		else if (this.closing) {
			ReferenceCountUtil.release(next);
		}
		else if (next instanceof HttpRequest head) {
			begin(head);
		}
		else {
			ReferenceCountUtil.release(next);
		}
		return true;
	}

	private void body(Exchange current, HttpObject next) {
		if (next.decoderResult().isFailure() || !(next instanceof HttpContent content)) {
			ReferenceCountUtil.release(next);
			current.callerGone();
			this.exchange = null;
			rejectOwn(BAD_REQUEST, "malformed body");
			return;
		}
		current.body(content);
	}

	private void discard(HttpObject next) {
		boolean last = next instanceof LastHttpContent || next.decoderResult().isFailure();
		ReferenceCountUtil.release(next);
		if (last) {
			this.discarding = false;
			if (this.closing) {
				context().close();
			}
		}
	}

	private void begin(HttpRequest head) {
		this.headStartedAt = -1;
		this.keepAlive = HttpUtil.isKeepAlive(head) && !this.draining;
		this.oldVersion = head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0;
		this.headRequest = head.method().name().equals("HEAD");
		this.responding = false;
		if (head.decoderResult().isFailure()) {
			Throwable cause = head.decoderResult().cause();
			rejectOwn((cause instanceof TooLongFrameException) ? HEADERS_TOO_LARGE : BAD_REQUEST,
					String.valueOf(cause.getMessage()));
			return;
		}
		if (HttpUtil.is100ContinueExpected(head)) {
			context().writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
		this.intake.accept(head, this, remoteHost());
	}

	private String remoteHost() {
		return (context().channel().remoteAddress() instanceof InetSocketAddress address) ? address.getHostString()
				: "";
	}

	/**
	 * Sets the request that is handled now.
	 * @param next the request
	 */
	void handle(Exchange next) {
		this.exchange = next;
		next.begin();
	}

	/**
	 * Rejects a request whose framing cannot be trusted, and closes the connection.
	 * @param status the status
	 * @param reason the reason
	 */
	void rejectOwn(int status, String reason) {
		LOGGER.info("{}",
				LogLine.event("request.rejected")
					.with("status", status)
					.with("caller", remoteHost())
					.with("why", reason));
		this.intake.countRejected(status);
		this.keepAlive = false;
		reply(status, reason, new DefaultHttpHeaders());
	}

	/**
	 * Responds to a request that is not handled and skips the rest of it.
	 * @param status the status
	 * @param reason the reason
	 * @param headers further headers
	 */
	void replyAndDiscard(int status, String reason, HttpHeaders headers) {
		this.discarding = true;
		reply(status, reason, headers);
	}

	@Override
	public void start(HttpResponse response) {
		this.responding = true;
		boolean sized = HttpUtil.isContentLengthSet(response) || isBodyless(response);
		this.chunked = !sized && !this.oldVersion;
		if (!sized && this.oldVersion) {
			this.keepAlive = false;
		}
		if (this.chunked) {
			response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		setConnectionHeader(response);
		context().write(response);
	}

	private boolean isBodyless(HttpResponse response) {
		int status = response.status().code();
		return this.headRequest || status == HttpResponseStatus.NO_CONTENT.code()
				|| status == HttpResponseStatus.NOT_MODIFIED.code();
	}

	private void setConnectionHeader(HttpResponse response) {
		Exchange current = this.exchange;
		boolean bodyLeft = current != null && !current.isBodyComplete();
		this.keepAlive = this.keepAlive && !this.draining && !bodyLeft;
		if (!this.keepAlive) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		else if (this.oldVersion) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
		}
	}

	@Override
	public void write(HttpContent content) {
		if (this.headRequest || !content.content().isReadable()) {
			content.release();
			return;
		}
		// The end of the response is written by finish().
		context().write((content instanceof LastHttpContent) ? plain(content) : content);
		if (this.responding) {
			context().flush();
		}
	}

	private static HttpContent plain(HttpContent last) {
		return new DefaultHttpContent(last.content());
	}

	@Override
	public void finish() {
		context().write(LastHttpContent.EMPTY_LAST_CONTENT);
		ended();
	}

	@Override
	public void reply(int status, String reason, HttpHeaders headers) {
		byte[] text = ("{\"reason\":\"" + escape(reason) + "\"}").getBytes(StandardCharsets.UTF_8);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(this.headRequest ? new byte[0] : text));
		response.headers().add(headers);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
		this.responding = true;
		setConnectionHeader(response);
		context().write(response);
		ended();
	}

	private static String escape(String text) {
		StringBuilder escaped = new StringBuilder();
		text.chars().forEach((c) -> {
			boolean special = c == '"' || c == '\\' || c < ' ';
			escaped.append(special ? '\'' : (char) c);
		});
		return escaped.toString();
	}

	private void ended() {
		Exchange current = this.exchange;
		this.exchange = null;
		this.responding = false;
		this.lastActivityAt = this.intake.now();
		boolean bodyLeft = current != null && !current.isBodyComplete();
		if (this.keepAlive && !bodyLeft) {
			context().flush();
			setReading(true);
			process();
			return;
		}
		this.closing = true;
		if (bodyLeft) {
			// Closing with unread bytes would reset the connection under the response.
			this.discarding = true;
			setReading(true);
			context().flush();
			ChannelHandlerContext open = context();
			open.executor().schedule(() -> open.close(), LINGER_MS, TimeUnit.MILLISECONDS);
			process();
			return;
		}
		releaseWaiting();
		context().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
	}

	@Override
	public void abort(String reason) {
		this.exchange = null;
		this.closing = true;
		releaseWaiting();
		context().flush();
		context().close();
	}

	@Override
	public boolean isWritable() {
		return context().channel().isWritable();
	}

	@Override
	public void setReading(boolean reading) {
		boolean full = this.waiting.size() > MOST_WAITING;
		context().channel().config().setAutoRead(reading && !full);
	}

	/**
	 * Lets time pass: closes what is idle or takes too long.
	 * @param now the monotonic time in milliseconds
	 * @param headerTimeoutMs the longest time for a head, in milliseconds
	 * @param idleTimeoutMs the longest idle time, in milliseconds
	 */
	void sweep(long now, long headerTimeoutMs, long idleTimeoutMs) {
		if (this.closing) {
			return;
		}
		Exchange current = this.exchange;
		long quiet = now - this.lastActivityAt;
		if (current == null && this.headStartedAt >= 0 && now - this.headStartedAt > headerTimeoutMs) {
			rejectOwn(REQUEST_TIMEOUT, "head not complete after " + headerTimeoutMs + " ms");
		}
		else if (current == null && quiet > idleTimeoutMs) {
			closeIdle();
		}
		else if (current != null && !current.isBodyComplete() && quiet > idleTimeoutMs) {
			current.callerGone();
			this.exchange = null;
			rejectOwn(REQUEST_TIMEOUT, "body not complete after a pause of " + idleTimeoutMs + " ms");
		}
	}

	/**
	 * Makes the next response the last one.
	 */
	void drain() {
		this.draining = true;
	}

	/**
	 * Closes the connection if no request is on it.
	 * @return {@code true} if it is closed
	 */
	boolean closeIdle() {
		if (this.exchange != null || this.headStartedAt >= 0 || this.discarding) {
			return false;
		}
		this.closing = true;
		context().close();
		return true;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		Exchange current = this.exchange;
		if (current != null && ctx.channel().isWritable()) {
			current.callerWritable();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		Exchange current = this.exchange;
		this.exchange = null;
		this.closing = true;
		releaseWaiting();
		this.intake.closed(this);
		if (current != null) {
			current.callerGone();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		LOGGER.debug("event=caller.lost reason=\"{}\"", cause.getMessage());
		ctx.close();
	}

	private void releaseWaiting() {
		this.waiting.forEach(ReferenceCountUtil::release);
		this.waiting.clear();
	}

}
