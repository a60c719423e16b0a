package org.lovagevale.gateway.http;

import io.netty.channel.ChannelHandlerContext;

/**
 * A decoder that decodes a limited number of parts in one turn of the event loop.
 *
 * <p>
 * Confined to the event loop.
 */
interface PartDecoder {

	/**
	 * Returns what passes the received bytes on to the decoder.
	 * @return the reader of this decoder
	 */
	MessagePartReader parts();

	/**
	 * Returns the size of the buffer of the bytes that are not decoded yet.
	 * @return the size in bytes, 0 if there are none
	 */
	int heldBytes();

	/**
	 * Returns the size of a head that has arrived in part.
	 * @return the received bytes of it that are not passed on, 0 if there are none
	 */
	int partialHeadBytes();

	/**
	 * Decodes what was received before.
	 * @param context the context of this decoder
	 * @throws Exception if decoding fails
	 */
	void decodeHeld(ChannelHandlerContext context) throws Exception;

}
