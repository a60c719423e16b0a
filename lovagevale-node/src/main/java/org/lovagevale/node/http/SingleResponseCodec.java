package org.lovagevale.node.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;

/**
 * Encodes the requests of one connection to a backend server and decodes their responses,
 * one after the other.
 *
 * <p>
 * Not thread-safe.
 */
final class SingleResponseCodec extends CombinedChannelDuplexHandler<SingleResponseDecoder, HttpRequestEncoder> {

	private final SingleResponseDecoder decoder;

	SingleResponseCodec(int maxHeadBytes) {
		this.decoder = new SingleResponseDecoder(maxHeadBytes);
		init(this.decoder, new HttpRequestEncoder());
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
		if (message instanceof HttpRequest request) {
			this.decoder.expectResponse(request.method());
		}
		super.write(context, message, promise);
	}

}
