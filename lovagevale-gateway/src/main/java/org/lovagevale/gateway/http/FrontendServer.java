package org.lovagevale.gateway.http;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.LogLine;
import org.lovagevale.core.catalog.RequestLimits;
import org.lovagevale.gateway.GatewayException;
import org.lovagevale.gateway.HostPort;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts connections from callers, up to a limit.
 *
 * <p>
 * Confined to the event loop except for {@link #open}.
 */
public final class FrontendServer {

	/** Maximum size of the buffer into which data of a caller is read, in bytes. */
	static final int MAX_READ_BYTES = 16_384;

	/**
	 * Size of the written and not yet taken data of a connection down to which further
	 * data is written, and above which none is, in bytes. The operating system buffers
	 * more than that.
	 */
	private static final WriteBufferWaterMark WRITE_MARKS = new WriteBufferWaterMark(16_384, 32_768);

	/**
	 * Time for the handshakes in progress when the server stops accepting, in
	 * milliseconds. It covers the round trip between regions and a lost last packet of
	 * the handshake, which the request replaces when it is repeated after 200 ms.
	 */
	public static final long HANDSHAKE_MS = 400;

	/**
	 * Time after which the port is closed even if no further connection arrives, in
	 * milliseconds.
	 */
	private static final long CLOSE_WITHOUT_CONNECTION_MS = 50;

	/**
	 * Maximum time from the refusal of new connections to the close of the port, in
	 * milliseconds.
	 */
	public static final long CLOSE_MS = HANDSHAKE_MS + CLOSE_WITHOUT_CONNECTION_MS;

	/**
	 * Time between the decision to close the port and the close, in milliseconds.
	 */
	private static final long ACCEPT_BEFORE_CLOSE_MS = 1;

	private static final long TIMEOUT_CHECK_INTERVAL_MS = 250;

	/**
	 * Part of the maximum number of connections that are closed at a time, if they are
	 * idle, while that number is open.
	 */
	private static final int CLOSED_IDLE_DIVISOR = 4;

	private static final Logger LOGGER = LoggerFactory.getLogger(FrontendServer.class);

	private final EventLoop loop;

	private final Supplier<? extends ServerChannel> channelFactory;

	private final RequestRouter router;

	private final AcceptLimit acceptLimit;

	private @Nullable Channel listening;

	private boolean stopping;

	/** Whether new connections are refused until the port is closed. */
	private boolean refusing;

	/** Whether the port is closed after the next connections are accepted. */
	private boolean closeAfterAccept;

	/** Number of connections that were accepted after the server began to stop. */
	private int acceptedWhileStopping;

	// Far in the past, so that it can be subtracted from any time without overflow.
	private long lastTimeoutCheckAt = Long.MIN_VALUE / 2;

	/**
	 * Creates a server.
	 * @param loop the event loop
	 * @param channelFactory creates listening channels
	 * @param router validates and routes the requests
	 * @param maxConnections the maximum number of open connections
	 */
	public FrontendServer(EventLoop loop, Supplier<? extends ServerChannel> channelFactory, RequestRouter router,
			int maxConnections) {
		this.loop = loop;
		this.channelFactory = channelFactory;
		this.router = router;
		this.acceptLimit = new AcceptLimit(maxConnections);
	}

	/**
	 * Starts accepting connections.
	 * @param address the address to listen on
	 * @return the port that the server listens on
	 * @throws GatewayException if the server cannot listen on the address
	 */
	public int open(HostPort address) throws GatewayException {
		ChannelFuture bound = new ServerBootstrap().group(this.loop)
			.channelFactory(this.channelFactory::get)
			.option(ChannelOption.SO_BACKLOG, ServerConnections.ACCEPT_BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.RECVBUF_ALLOCATOR, ServerConnections.acceptAllWaiting())
			.handler(new AcceptHandler())
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_MARKS)
			.childOption(ChannelOption.RECVBUF_ALLOCATOR, ServerConnections.oneBufferAtATime(MAX_READ_BYTES))
			.childHandler(new ChannelInitializer<>() {

				@Override
				protected void initChannel(Channel channel) {
					accept(channel);
				}

			})
			.bind(address.host(), address.port())
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new GatewayException("cannot listen for callers on " + address, bound.cause());
		}
		this.listening = bound.channel();
		return ((InetSocketAddress) bound.channel().localAddress()).getPort();
	}

	private void accept(Channel channel) {
		this.acceptedWhileStopping += this.stopping ? 1 : 0;
		this.acceptLimit.accepted(channel);
		FrontendConnection connection = this.router.createConnection();
		channel.pipeline()
			.addLast(new ArrivalHandler(connection, this.router.scheduler()),
					new StrictRequestDecoder(this.router::limits, connection::isDecodable),
					new WriteFailureHandler(connection.output()::fail), new HttpResponseEncoder(), connection);
		connection.pauseIfMemoryFull();
	}

	/**
	 * Resumes reading from callers if the process is no longer full. Closes the
	 * connections that are idle for too long, receive a request too slowly or take
	 * nothing of a response, if the last check is {@link #TIMEOUT_CHECK_INTERVAL_MS} ago.
	 */
	public void tick() {
		this.router.resumeReading();
		long now = this.router.now();
		if (now - this.lastTimeoutCheckAt < TIMEOUT_CHECK_INTERVAL_MS) {
			return;
		}
		this.lastTimeoutCheckAt = now;
		RequestLimits limits = this.router.limits();
		for (FrontendConnection connection : this.router.connections()) {
			connection.checkTimeouts(now, limits.headerTimeoutMs(), limits.idleTimeoutMs());
		}
		this.router.evictExcessResponses();
		if (this.acceptLimit.isReached()) {
			closeLongestIdle(now);
		}
	}

	// Makes room for callers that wait to be accepted. One that keeps an idle connection
	// connects again.
	private void closeLongestIdle(long now) {
		this.router.connections()
			.stream()
			.sorted(Comparator.comparingLong((FrontendConnection connection) -> connection.idleMs(now)).reversed())
			.limit(Math.max(1, this.acceptLimit.maxConnections() / CLOSED_IDLE_DIVISOR))
			.forEach(FrontendConnection::closeIfIdle);
	}

	/**
	 * Rejects the requests that are not at a server yet and could not be completed before
	 * the planned stop of this process ends.
	 */
	public void rejectUnfinishable() {
		this.router.connections().forEach(FrontendConnection::rejectIfUnfinishable);
	}

	/**
	 * Closes the connections without a request in progress.
	 */
	public void closeIdle() {
		this.router.connections().forEach(FrontendConnection::closeIfIdle);
	}

	/**
	 * Returns the number of open connections.
	 * @return the number
	 */
	public int connectionCount() {
		return this.router.connections().size();
	}

	/**
	 * Counts the open connections by what has arrived on them.
	 * @return the numbers of connections
	 */
	public ConnectionCounts connectionCounts() {
		int withRequest = 0;
		int silent = 0;
		for (FrontendConnection connection : this.router.connections()) {
			withRequest += connection.hasRequest() ? 1 : 0;
			silent += connection.isSilent() ? 1 : 0;
		}
		return new ConnectionCounts(connectionCount(), withRequest, silent);
	}

	/**
	 * Stops accepting connections. New ones are refused at once. Those that callers have
	 * opened already, or whose handshakes are in progress, are accepted before the port
	 * is closed, since closing it would reset them.
	 */
	public void stopAccepting() {
		this.stopping = true;
		Channel channel = this.listening;
		if (channel == null) {
			return;
		}
		this.acceptLimit.lift(channel);
		this.refusing = ConnectionRefusal.refuseNewConnections(channel);
		if (this.refusing) {
			this.loop.schedule(this::closeAfterAccept, HANDSHAKE_MS, TimeUnit.MILLISECONDS);
		}
		else {
			closeAfterAccept();
		}
	}

	private void closeAfterAccept() {
		this.closeAfterAccept = true;
		// The event loop accepts what arrived during a delay before it runs the inner
		// task.
		this.loop.schedule(() -> this.loop.schedule(this::closePort, ACCEPT_BEFORE_CLOSE_MS, TimeUnit.MILLISECONDS),
				CLOSE_WITHOUT_CONNECTION_MS, TimeUnit.MILLISECONDS);
	}

	private void closePort() {
		Channel channel = this.listening;
		if (channel == null || !channel.isOpen()) {
			return;
		}
		channel.close();
		LOGGER.info("{}",
				LogLine.event("port.closed")
					.with("refused", this.refusing)
					.with("accepted", this.acceptedWhileStopping));
	}

	/**
	 * Returns whether the server has begun to stop accepting connections.
	 * @return {@code true} once new connections are refused or about to be
	 */
	public boolean isStopping() {
		return this.stopping;
	}

	/**
	 * Returns whether connections can still be accepted.
	 * @return {@code true} until the port is closed
	 */
	public boolean isAccepting() {
		Channel channel = this.listening;
		return channel != null && channel.isOpen();
	}

	/**
	 * Closes the port directly after all waiting connections were accepted. Later in the
	 * same turn of the event loop, further ones may wait, which the close would reset.
	 *
	 * <p>
	 * Confined to the event loop.
	 */
	private final class AcceptHandler extends ChannelInboundHandlerAdapter {

		@Override
		public void channelReadComplete(ChannelHandlerContext ctx) {
			if (FrontendServer.this.closeAfterAccept) {
				closePort();
			}
			ctx.fireChannelReadComplete();
		}

	}

}
