package org.lovagevale.node.http;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A caller on the loopback interface; the test writes and reads the bytes of its
 * connection.
 *
 * <p>
 * Not thread-safe.
 */
final class RawCaller implements Closeable {

	final Socket socket;

	final InputStream in;

	final OutputStream out;

	RawCaller(int port) throws IOException {
		this.socket = new Socket(InetAddress.getLoopbackAddress(), port);
		this.socket.setSoTimeout(20_000);
		this.in = new BufferedInputStream(this.socket.getInputStream());
		this.out = this.socket.getOutputStream();
	}

	void send(String text) throws IOException {
		this.out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		this.out.flush();
	}

	/**
	 * Reads a response whose body is delimited by Content-Length.
	 * @return the head and the body
	 * @throws IOException if the connection is reset or nothing is received for 20
	 * seconds
	 */
	String readResponse() throws IOException {
		String head = readHead(this.in);
		return head + new String(this.in.readNBytes((int) contentLength(head)), StandardCharsets.ISO_8859_1);
	}

	/**
	 * Reads the head of a request or response.
	 * @param in the input of the connection
	 * @return the head including the empty line, or what was received before the
	 * connection was closed
	 * @throws IOException if the connection is reset or the read times out
	 */
	static String readHead(InputStream in) throws IOException {
		ByteArrayOutputStream head = new ByteArrayOutputStream();
		int next = in.read();
		while (next >= 0) {
			head.write(next);
			if (next == '\n' && head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
				break;
			}
			next = in.read();
		}
		return head.toString(StandardCharsets.ISO_8859_1);
	}

	static long contentLength(String head) {
		return head.lines()
			.filter((line) -> line.toLowerCase().startsWith("content-length:"))
			.mapToLong((line) -> Long.parseLong(line.substring("content-length:".length()).trim()))
			.findFirst()
			.orElse(0);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
