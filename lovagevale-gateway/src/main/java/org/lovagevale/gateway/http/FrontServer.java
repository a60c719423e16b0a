package org.lovagevale.gateway.http;

import java.net.InetSocketAddress;
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
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.jspecify.annotations.Nullable;
import org.lovagevale.core.catalog.RequestLimits;
import org.lovagevale.gateway.GatewayException;
import org.lovagevale.gateway.HostPort;

/**
 * Accepts the connections of callers.
 *
 * <p>
 * Confined to the event loop except for {@link #open}.
 */
public final class FrontServer {

	private static final int BACKLOG = 1_024;

	private static final long SWEEP_MS = 250;

	private final EventLoop loop;

	private final Supplier<? extends ServerChannel> channels;

	private final RequestIntake intake;

	private @Nullable Channel listening;

	/**
	 * Creates a server.
	 * @param loop the event loop
	 * @param channels creates listening channels
	 * @param intake decides on requests
	 */
	public FrontServer(EventLoop loop, Supplier<? extends ServerChannel> channels, RequestIntake intake) {
		this.loop = loop;
		this.channels = channels;
		this.intake = intake;
	}

	/**
	 * Begins to accept connections.
	 * @param address where to listen
	 * @return the port that is open
	 * @throws GatewayException if the address cannot be opened
	 */
	public int open(HostPort address) throws GatewayException {
		ChannelFuture bound = new ServerBootstrap().group(this.loop)
			.channelFactory(this.channels::get)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
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
		this.loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
		return ((InetSocketAddress) bound.channel().localAddress()).getPort();
	}

	private void accept(Channel channel) {
		FrontConnection connection = this.intake.opened();
		channel.pipeline()
			.addLast(new ArrivalHandler(connection), new StrictRequestDecoder(this.intake.limits()),
					new HttpResponseEncoder(), connection);
	}

	private void sweep() {
		RequestLimits limits = this.intake.limits();
		long now = this.intake.now();
		for (FrontConnection connection : this.intake.connections()) {
			connection.sweep(now, limits.headerTimeoutMs(), limits.idleTimeoutMs());
		}
	}

	/**
	 * Makes the next response on each connection the last one.
	 */
	public void drain() {
		this.intake.connections().forEach(FrontConnection::drain);
	}

	/**
	 * Closes the connections on which no request is handled.
	 */
	public void closeIdle() {
		this.intake.connections().forEach(FrontConnection::closeIdle);
	}

	/**
	 * Returns the number of open connections.
	 * @return the number
	 */
	public int size() {
		return this.intake.connections().size();
	}

	/**
	 * Stops accepting connections.
	 */
	public void stopAccepting() {
		Channel channel = this.listening;
		if (channel != null) {
			channel.close();
		}
	}

	/**
	 * Tells the connection about bytes before they are decoded.
	 *
	 * <p>
	 * Confined to the event loop.
	 */
	private static final class ArrivalHandler extends ChannelInboundHandlerAdapter {

		private final FrontConnection connection;

		private ArrivalHandler(FrontConnection connection) {
			this.connection = connection;
		}

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) {
			this.connection.bytesArrived();
			ctx.fireChannelRead(message);
		}

	}

}
