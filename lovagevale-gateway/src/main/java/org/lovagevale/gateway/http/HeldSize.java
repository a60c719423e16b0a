package org.lovagevale.gateway.http;

import java.util.Iterator;
import java.util.Map;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * The memory that decoded parts of messages take, with their objects.
 *
 * <p>
 * Thread-safe.
 */
final class HeldSize {

	/** Size of the objects of a head without its headers, in bytes. */
	private static final int HEAD_BYTES = 512;

	/**
	 * Size of the objects of a header without its characters, in bytes: an entry of the
	 * map, and a name and a value with an array each.
	 */
	private static final int HEADER_BYTES = 144;

	/** Size of the objects of a part of a body, in bytes. */
	private static final int CONTENT_BYTES = 144;

	private HeldSize() {
	}

	/**
	 * Returns the size of a head.
	 * @param head the head of a request or a response
	 * @return the size in bytes
	 */
	static long ofHead(HttpMessage head) {
		long bytes = HEAD_BYTES + head.protocolVersion().text().length() + firstLineBytes(head);
		// An iterator of strings would add a string to each name, of 48 bytes and more.
		Iterator<Map.Entry<CharSequence, CharSequence>> headers = head.headers().iteratorCharSequence();
		while (headers.hasNext()) {
			Map.Entry<CharSequence, CharSequence> header = headers.next();
			bytes += header.getKey().length() + header.getValue().length() + HEADER_BYTES;
		}
		return bytes;
	}

	private static long firstLineBytes(HttpMessage head) {
		if (head instanceof HttpRequest request) {
			return (long) request.method().name().length() + request.uri().length();
		}
		return (head instanceof HttpResponse response) ? response.status().reasonPhrase().length() : 0;
	}

	/**
	 * Returns the size of a part of a message.
	 * @param part a head or a part of a body
	 * @return the size in bytes
	 */
	static long of(HttpObject part) {
		long bytes = (part instanceof HttpMessage head) ? ofHead(head) : 0;
		return bytes + ((part instanceof HttpContent content) ? CONTENT_BYTES + content.content().readableBytes() : 0);
	}

}
