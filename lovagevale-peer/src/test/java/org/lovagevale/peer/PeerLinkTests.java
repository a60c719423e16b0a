package org.lovagevale.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;
import org.lovagevale.core.message.Hello;
import org.lovagevale.core.message.PeerMessage;
import reactor.netty.Connection;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against frames that a peer reads at the wrong offset.
 */
class PeerLinkTests {

	private static final Hello HELLO = new Hello(1, "deployment", "entry-01", "1-00000001");

	@Test
	void linkIsClosedAfterAFrameThatWasWrittenInPart() {
		EmbeddedChannel channel = new EmbeddedChannel();
		PeerLink link = new PeerLink(channel, new PeerCodec(), new PeerCounterRecorder(), new PartialFrames(),
				new CountingListener());
		link.open(Connection.from(channel), HELLO);
		channel.releaseOutbound();
		channel.pipeline().addFirst(new BodyFailure());
		assertThat(link.send(HELLO)).isTrue();
		channel.runPendingTasks();
		assertThat(channel.isOpen()).isFalse();
		assertThat(link.send(HELLO)).isFalse();
	}

	@Test
	void messagesBehindAMalformedOneAreNotHandled() throws PeerException {
		EmbeddedChannel channel = new EmbeddedChannel();
		CountingListener listener = new CountingListener();
		new PeerLink(channel, new PeerCodec(), new PeerCounterRecorder(), new PartialFrames(), listener)
			.open(Connection.from(channel), HELLO);
		channel.releaseOutbound();
		byte[] hello = new PeerCodec().encode(HELLO);
		ByteBuf received = Unpooled.buffer().writeInt(1).writeByte(0).writeInt(hello.length).writeBytes(hello);
		channel.writeInbound(received);
		assertThat(channel.isOpen()).isFalse();
		assertThat(listener.hellos).isZero();
	}

	/**
	 * Fails the writes of all buffers that are longer than the length field of a frame.
	 *
	 * <p>
	 * Confined to the event loop.
	 */
	private static final class BodyFailure extends ChannelOutboundHandlerAdapter {

		@Override
		public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
			if (message instanceof ByteBuf bytes && bytes.readableBytes() > Integer.BYTES) {
				ReferenceCountUtil.release(message);
				promise.setFailure(new OutOfMemoryError("Cannot reserve direct buffer memory"));
				return;
			}
			ctx.write(message, promise);
		}

	}

	/**
	 * Counts the hello messages and ignores all other events.
	 *
	 * <p>
	 * Confined to the event loop.
	 */
	private static final class CountingListener implements PeerLinkListener {

		private int hellos;

		@Override
		public void helloReceived(PeerLink link, Hello hello) {
			this.hellos++;
		}

		@Override
		public void messageReceived(PeerLink link, PeerMessage message) {
			// Not used here.
		}

		@Override
		public void linkClosed(PeerLink link) {
			// Not used here.
		}

	}

}
