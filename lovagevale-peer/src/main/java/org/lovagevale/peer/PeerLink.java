package org.lovagevale.peer;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.VmName;
import org.lovagevale.core.message.Hello;
import org.lovagevale.core.message.PeerMessage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.netty.Connection;

/**
 * One TCP connection to a peer.
 *
 * <p>
 * Invariant: the first message in each direction is a {@link Hello}; any malformed,
 * oversized or unexpected message closes the connection. Empty frames are sent on an idle
 * connection, so that a network failure is detected within
 * {@link #READ_IDLE_TIMEOUT_SECONDS}. Thread-safe.
 */
final class PeerLink extends SimpleChannelInboundHandler<ByteBuf> {

	/** Time without received data after which a connection is closed, in seconds. */
	static final int READ_IDLE_TIMEOUT_SECONDS = 5;

	private static final int KEEPALIVE_INTERVAL_SECONDS = 1;

	/**
	 * Number of unsent bytes from which messages are dropped. Two messages of the maximum
	 * size fit, each with a complete settings tree; more unsent bytes mean that the peer
	 * is not reading.
	 */
	private static final int MAX_PENDING_BYTES = 2 * PeerCodec.MAX_MESSAGE_BYTES;

	private static final Logger LOGGER = LoggerFactory.getLogger(PeerLink.class);

	private final Channel channel;

	private final PeerCodec codec;

	private final PeerCounterRecorder counters;

	private final PeerLinkListener listener;

	private final PartialFrames partialFrames;

	private volatile @Nullable VmName peer;

	PeerLink(Channel channel, PeerCodec codec, PeerCounterRecorder counters, PartialFrames partialFrames,
			PeerLinkListener listener) {
		this.partialFrames = partialFrames;
		this.channel = channel;
		this.codec = codec;
		this.counters = counters;
		this.listener = listener;
	}

	/**
	 * Installs the channel handlers and sends the hello message.
	 * @param connection the connection of the channel
	 * @param hello the hello message
	 */
	void open(Connection connection, Hello hello) {
		this.channel.config()
			.setWriteBufferWaterMark(new WriteBufferWaterMark(MAX_PENDING_BYTES / 2, MAX_PENDING_BYTES));
		connection.addHandlerLast("idle",
				new IdleStateHandler(READ_IDLE_TIMEOUT_SECONDS, KEEPALIVE_INTERVAL_SECONDS, 0, TimeUnit.SECONDS));
		connection.addHandlerLast("frames", new PeerFrameDecoder(() -> this.peer != null, this.partialFrames));
		connection.addHandlerLast("lengths", new LengthFieldPrepender(PeerFrameDecoder.LENGTH_FIELD_BYTES));
		connection.addHandlerLast("messages", this);
		// Reactor Netty reads only when its own inbound requests data, which is not the
		// case here.
		this.channel.config().setAutoRead(true);
		send(hello);
	}

	/**
	 * Returns the name of the peer.
	 * @return the name, or {@code null} before the hello message of the peer
	 */
	@Nullable VmName peer() {
		return this.peer;
	}

	/**
	 * Returns the remote address of the connection.
	 * @return the remote address
	 */
	InetSocketAddress remoteAddress() {
		return (InetSocketAddress) this.channel.remoteAddress();
	}

	/**
	 * Sends a message unless the connection is closed, too many bytes are unsent or the
	 * message cannot be encoded; then it is dropped and counted.
	 * @param message the message
	 * @return {@code true} if the message was written, {@code false} if it was dropped
	 */
	boolean send(PeerMessage message) {
		if (!this.channel.isActive() || !this.channel.isWritable()) {
			this.counters.countDropped();
			return false;
		}
		byte[] bytes;
		try {
			bytes = this.codec.encode(message);
		}
		catch (PeerException ex) {
			LOGGER.warn("event=peer.message-dropped reason=\"{}\"", ex.getMessage());
			this.counters.countDropped();
			return false;
		}
		this.counters.countSent(bytes.length + PeerFrameDecoder.LENGTH_FIELD_BYTES);
		// The peer would take the next frame for the part that could not be written.
		this.channel.writeAndFlush(Unpooled.wrappedBuffer(bytes)).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
		return true;
	}

	void close() {
		this.channel.close();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
		int length = frame.readableBytes();
		// The decoder also passes on the frames that were received with a malformed one.
		if (length == 0 || !this.channel.isActive()) {
			return;
		}
		byte[] bytes = new byte[length];
		frame.readBytes(bytes);
		try {
			handle(this.codec.decode(bytes));
			this.counters.countReceived(length + PeerFrameDecoder.LENGTH_FIELD_BYTES);
		}
		catch (PeerException ex) {
			closeOnError(ex);
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof IdleStateEvent idle) {
			if (idle.state() == IdleState.READER_IDLE) {
				close();
			}
			else {
				this.channel.writeAndFlush(Unpooled.EMPTY_BUFFER);
			}
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.listener.linkClosed(this);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		closeOnError(cause);
	}

	private void handle(PeerMessage message) throws PeerException {
		if (this.peer != null) {
			if (message instanceof Hello) {
				throw new PeerException("received a second hello message", null);
			}
			this.listener.messageReceived(this, message);
			return;
		}
		if (!(message instanceof Hello hello)) {
			throw new PeerException("first message is not a hello message", null);
		}
		try {
			this.peer = new VmName(hello.vm());
		}
		catch (IllegalArgumentException ex) {
			throw new PeerException(ex.getMessage() + " in hello message", ex);
		}
		this.listener.helloReceived(this, hello);
	}

	private void closeOnError(Throwable cause) {
		if (!this.channel.isActive()) {
			return;
		}
		this.counters.countRejected();
		LOGGER.warn("event=peer.link-closed peer={} remote={} reason=\"{}\"", this.peer, this.channel.remoteAddress(),
				cause.getMessage());
		close();
	}

}
