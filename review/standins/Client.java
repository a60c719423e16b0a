package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of a client.
 */
final class Client {

	/** Status of a request whose channel ended without a complete answer. */
	static final int CLOSED = 0;

	/** Status of a request that had no answer when the client stopped waiting. */
	static final int NO_ANSWER = -1;

	private static final AtomicLong LAST_ID = new AtomicLong(System.nanoTime());

	private static final Pattern ADDRESS = Pattern.compile("\"(127[0-9.]+):([0-9]+)\"");

	private Client() {
	}

	static String newId() {
		return String.format("%016x", LAST_ID.incrementAndGet() * 0x9E3779B97F4A7C15L);
	}

	/** What the client got. The body is complete if the status is a status of HTTP. */
	record Answer(int status, Http.Head head, byte[] body, String end) {

		boolean hasSignature() {
			return this.head != null && this.head.header(Http.SIGNATURE) != null;
		}

		boolean closesChannel() {
			return this.head == null || "close".equalsIgnoreCase(this.head.header("Connection"));
		}

		@Override
		public String toString() {
			return "status=" + this.status + " bytes=" + this.body.length + " end=\"" + this.end + "\"";
		}

	}

	static String head(String method, String path, String host, String id, long timeLeftMs, long length) {
		return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + Http.ID + ": " + id + "\r\n"
				+ Http.TIME_LEFT + ": " + timeLeftMs + "\r\n"
				+ ((length >= 0) ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
	}

	/** Sends one request on a channel of its own. */
	static Answer exchange(Gateway gateway, String method, String path, String host, String id, long timeLeftMs) {
		try (Channel channel = new Channel(gateway.host(), gateway.frontPort(), 1_000)) {
			channel.write(head(method, path, host, id, timeLeftMs, method.equals("GET") ? -1 : 0));
			return channel.read(timeLeftMs);
		}
		catch (IOException ex) {
			return new Answer(CLOSED, null, new byte[0], String.valueOf(ex.getMessage()));
		}
	}

	/** Asks the directory of a machine; an empty list is a failure. */
	static List<String> resolve(Gateway gateway, String host, String zone, String region) {
		List<String> addresses = new ArrayList<>();
		try (Channel channel = new Channel(gateway.host(), gateway.directoryPort(), 1_000)) {
			channel.write("GET /resolve?Name=" + host + "&Region=" + region + "&Zone=" + zone
					+ " HTTP/1.1\r\nHost: directory\r\n\r\n");
			Answer answer = channel.read(1_000);
			if (answer.status() == 200) {
				Matcher matcher = ADDRESS.matcher(new String(answer.body(), StandardCharsets.UTF_8));
				while (matcher.find()) {
					addresses.add(matcher.group(1) + ":" + matcher.group(2));
				}
			}
		}
		catch (IOException ex) {
			// The machine does not answer.
		}
		return addresses;
	}

	/** A channel of a client, used for one request after the other. */
	static final class Channel implements AutoCloseable {

		private final Socket socket = new Socket();

		private final InputStream in;

		private final OutputStream out;

		Channel(String host, int port, int connectTimeoutMs) throws IOException {
			try {
				this.socket.connect(new InetSocketAddress(host, port), connectTimeoutMs);
				this.socket.setTcpNoDelay(true);
				this.in = new BufferedInputStream(this.socket.getInputStream(), 65_536);
				this.out = this.socket.getOutputStream();
			}
			catch (IOException ex) {
				this.socket.close();
				throw ex;
			}
		}

		void write(String text) throws IOException {
			this.out.write(text.getBytes(StandardCharsets.ISO_8859_1));
			this.out.flush();
		}

		void write(byte[] bytes) throws IOException {
			this.out.write(bytes);
			this.out.flush();
		}

		/** Reads one answer. */
		Answer read(long timeoutMs) {
			ByteArrayOutputStream partial = new ByteArrayOutputStream();
			Http.Head head = null;
			try {
				this.socket.setSoTimeout((int) Math.max(1, timeoutMs));
				head = Http.readHead(this.in);
				if (head == null) {
					return new Answer(CLOSED, null, new byte[0], "closed before an answer");
				}
				byte[] body = Http.readBody(this.in, head);
				return new Answer(Integer.parseInt(head.startWords()[1]), head, body, "complete");
			}
			catch (SocketTimeoutException ex) {
				return new Answer(NO_ANSWER, head, partial.toByteArray(), "no complete answer in " + timeoutMs + " ms");
			}
			catch (IOException ex) {
				return new Answer(CLOSED, head, partial.toByteArray(), String.valueOf(ex.getMessage()));
			}
		}

		@Override
		public void close() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// Nothing is left to close.
			}
		}

	}

}
