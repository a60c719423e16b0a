package org.lovagevale.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/**
 * Event loops that keep the channels created on them, so that a test can disturb them.
 *
 * <p>
 * Thread-safe.
 */
final class ObservedLoops implements LoopResources {

	private final LoopResources loops;

	private final List<Channel> channels = new CopyOnWriteArrayList<>();

	ObservedLoops(LoopResources loops) {
		this.loops = loops;
	}

	/**
	 * Returns the open channels with a remote port.
	 * @param remotePort the remote port
	 * @return the channels
	 */
	List<Channel> channelsTo(int remotePort) {
		return this.channels.stream()
			.filter((channel) -> channel.isActive() && channel.remoteAddress() instanceof InetSocketAddress remote
					&& remote.getPort() == remotePort)
			.toList();
	}

	/**
	 * Returns the open channel that accepts connections to a port.
	 * @param localPort the port
	 * @return the listening channel
	 */
	Channel listening(int localPort) {
		return this.channels.stream()
			.filter((channel) -> channel.isActive() && channel instanceof ServerChannel
					&& channel.localAddress() instanceof InetSocketAddress local && local.getPort() == localPort)
			.findFirst()
			.orElseThrow();
	}

	@Override
	public EventLoopGroup onServer(boolean useNative) {
		return this.loops.onServer(useNative);
	}

	@Override
	public <C extends Channel> C onChannel(Class<C> channelType, EventLoopGroup group) {
		C channel = this.loops.onChannel(channelType, group);
		this.channels.add(channel);
		if (channel instanceof ServerChannel) {
			channel.pipeline().addFirst(new AcceptedChannels());
		}
		return channel;
	}

	@Override
	public <C extends Channel> Class<? extends C> onChannelClass(Class<C> channelType, EventLoopGroup group) {
		return this.loops.onChannelClass(channelType, group);
	}

	@Override
	public Mono<Void> disposeLater(Duration quietPeriod, Duration timeout) {
		return this.loops.disposeLater(quietPeriod, timeout);
	}

	@Override
	public void dispose() {
		this.loops.dispose();
	}

	/**
	 * Keeps the channels that a listening channel accepts.
	 *
	 * <p>
	 * Confined to the event loop.
	 */
	private final class AcceptedChannels extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) {
			ObservedLoops.this.channels.add((Channel) message);
			ctx.fireChannelRead(message);
		}

	}

}
