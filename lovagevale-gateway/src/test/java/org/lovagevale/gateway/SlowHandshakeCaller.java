package org.lovagevale.gateway;

import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.unix.IntegerUnixChannelOption;
import io.netty.channel.unix.RawUnixChannelOption;

/**
 * A caller whose operating system discards the first answer to its attempt to connect, so
 * that its handshake ends when the answer is repeated. Sends one request and records what
 * became of it.
 *
 * <p>
 * Thread-safe.
 */
final class SlowHandshakeCaller {

	/** The outcome of a caller whose connection was refused. */
	static final String NOT_CONNECTED = "not connected";

	/**
	 * Time for which answers are discarded, in milliseconds. The operating system repeats
	 * them after 1 s.
	 */
	private static final long DISCARD_MS = 950;

	private static final int CONNECT_TIMEOUT_MS = 5_000;

	private static final int SOL_SOCKET = 1;

	private static final int SOCK_FPROG_BYTES = 16;

	private static final int SOCK_FILTER_BYTES = 8;

	/** Returns a constant number of bytes to accept; here 0. */
	private static final int BPF_RET = 0x06;

	private static final RawUnixChannelOption ATTACH_FILTER = new RawUnixChannelOption("SO_ATTACH_FILTER", SOL_SOCKET,
			26, SOCK_FPROG_BYTES);

	private static final ChannelOption<Integer> DETACH_FILTER = new IntegerUnixChannelOption("SO_DETACH_FILTER",
			SOL_SOCKET, 27);

	private final CompletableFuture<String> outcome = new CompletableFuture<>();

	private final StringBuilder received = new StringBuilder();

	private final String request;

	private SlowHandshakeCaller(String request) {
		this.request = request;
	}

	/**
	 * Begins to connect.
	 * @param group the epoll event loops of the caller
	 * @param address the address of the entry process
	 * @param request the request to send once the connection is established
	 * @return the response, {@link #NOT_CONNECTED}, or the data received before the
	 * connection was closed or reset
	 */
	static CompletableFuture<String> call(EventLoopGroup group, HostPort address, String request) {
		return new SlowHandshakeCaller(request).connect(group, address);
	}

	private CompletableFuture<String> connect(EventLoopGroup group, HostPort address) {
		ChannelFuture connecting = new Bootstrap().group(group)
			.channel(EpollSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.handler(new ChannelInitializer<>() {

				@Override
				protected void initChannel(Channel channel) {
					discardReceivedPackets(channel);
					channel.pipeline().addLast(new ResponseHandler());
				}

			})
			.connect(address.host(), address.port());
		Channel channel = connecting.channel();
		channel.eventLoop()
			.schedule(() -> channel.config().setOption(DETACH_FILTER, 0), DISCARD_MS, TimeUnit.MILLISECONDS);
		connecting.addListener((result) -> {
			if (result.isSuccess()) {
				channel.writeAndFlush(Unpooled.copiedBuffer(this.request, StandardCharsets.ISO_8859_1));
			}
			else {
				boolean refused = result.cause() instanceof ConnectException
						&& !(result.cause() instanceof ConnectTimeoutException);
				this.outcome.complete(refused ? NOT_CONNECTED : "" + result.cause());
			}
		});
		return this.outcome;
	}

	private static void discardReceivedPackets(Channel channel) {
		ByteBuf filter = Unpooled.directBuffer(SOCK_FILTER_BYTES);
		try {
			filter.writeShortLE(BPF_RET).writeZero(SOCK_FILTER_BYTES - Short.BYTES);
			ByteBuffer program = ByteBuffer.allocateDirect(SOCK_FPROG_BYTES).order(ByteOrder.nativeOrder());
			program.putShort(0, (short) 1).putLong(Long.BYTES, filter.memoryAddress());
			channel.config().setOption(ATTACH_FILTER, program);
		}
		finally {
			filter.release();
		}
	}

	/**
	 * Collects the response until the connection ends.
	 *
	 * <p>
	 * Confined to the event loop.
	 */
	private final class ResponseHandler extends SimpleChannelInboundHandler<ByteBuf> {

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, ByteBuf data) {
			SlowHandshakeCaller.this.received.append(data.toString(StandardCharsets.ISO_8859_1));
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			SlowHandshakeCaller.this.outcome.complete(SlowHandshakeCaller.this.received.toString());
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			SlowHandshakeCaller.this.outcome
				.complete(SlowHandshakeCaller.this.received + "cut off: " + cause.getMessage());
			ctx.close();
		}

	}

}
