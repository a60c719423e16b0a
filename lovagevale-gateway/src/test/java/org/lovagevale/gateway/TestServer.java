package org.lovagevale.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A backend server on loopback whose responses are written by a script of the test.
 */
final class TestServer implements AutoCloseable {

	private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final List<Request> requests = new CopyOnWriteArrayList<>();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private volatile Script script;

	TestServer(Script script) throws IOException {
		this.script = script;
		Thread.ofVirtual().start(this::accept);
	}

	int port() {
		return this.listening.getLocalPort();
	}

	void script(Script next) {
		this.script = next;
	}

	/**
	 * Returns the received requests except health checks.
	 * @return the requests
	 */
	List<Request> requests() {
		return this.requests;
	}

	int connections() {
		return this.sockets.size();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listening.accept();
				this.sockets.add(socket);
				Thread.ofVirtual().start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The server was closed at the end of the test.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			BufferedReader in = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
			for (Request request = read(in); request != null; request = read(in)) {
				if (request.line().startsWith("GET /health ")) {
					write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
					continue;
				}
				this.requests.add(request);
				this.script.respond(request, socket);
			}
		}
		catch (IOException ex) {
			// The entry process closed the connection, which some tests provoke.
		}
	}

	private static Request read(BufferedReader in) throws IOException {
		String line = in.readLine();
		if (line == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		for (String header = in.readLine(); header != null && !header.isEmpty(); header = in.readLine()) {
			int colon = header.indexOf(':');
			headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
		}
		StringBuilder body = new StringBuilder();
		int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
		for (int i = 0; i < length; i++) {
			body.append((char) in.read());
		}
		return new Request(line, headers, body.toString());
	}

	static void write(Socket socket, String text) throws IOException {
		OutputStream out = socket.getOutputStream();
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	static String ok(Request request, String body) {
		return ok(request.headers().get("test-id"), body);
	}

	static String ok(String id, String body) {
		return "HTTP/1.1 200 OK\r\nTest-Id: " + id + "\r\nTest-Signature: s\r\nContent-Length: " + body.length()
				+ "\r\n\r\n" + body;
	}

	@Override
	public void close() throws IOException {
		this.listening.close();
		for (Socket socket : new ArrayList<>(this.sockets)) {
			socket.close();
		}
	}

	/**
	 * Responds to a request.
	 */
	@FunctionalInterface
	interface Script {

		void respond(Request request, Socket socket) throws IOException;

	}

	/**
	 * A received request.
	 *
	 * @param line the request line
	 * @param headers the headers by name in lower case
	 * @param body the body
	 */
	record Request(String line, Map<String, String> headers, String body) {
	}

}
