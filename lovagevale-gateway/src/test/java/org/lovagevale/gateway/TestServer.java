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
 * A backend server on loopback whose responses are written by a handler of the test.
 */
final class TestServer implements AutoCloseable {

	private final ServerSocket serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final List<Request> requests = new CopyOnWriteArrayList<>();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private volatile RequestHandler handler;

	private volatile RequestHandler healthHandler = (request, socket) -> write(socket,
			"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");

	TestServer(RequestHandler handler) throws IOException {
		this.handler = handler;
		Thread.ofVirtual().start(this::acceptConnections);
	}

	int port() {
		return this.serverSocket.getLocalPort();
	}

	void setHandler(RequestHandler newHandler) {
		this.handler = newHandler;
	}

	void setHealthHandler(RequestHandler newHandler) {
		this.healthHandler = newHandler;
	}

	/**
	 * Returns the received requests except health checks.
	 * @return the requests
	 */
	List<Request> requests() {
		return this.requests;
	}

	int connectionCount() {
		return this.sockets.size();
	}

	private void acceptConnections() {
		try {
			while (true) {
				Socket socket = this.serverSocket.accept();
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
			for (Request request = readRequest(in); request != null; request = readRequest(in)) {
				if (request.requestLine().startsWith("GET /health ")) {
					this.healthHandler.handle(request, socket);
					continue;
				}
				this.requests.add(request);
				this.handler.handle(request, socket);
			}
		}
		catch (IOException ex) {
			// The entry process or the handler closed the connection.
		}
	}

	private static Request readRequest(BufferedReader in) throws IOException {
		String requestLine = in.readLine();
		if (requestLine == null) {
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
		return new Request(requestLine, headers, body.toString());
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
		this.serverSocket.close();
		for (Socket socket : new ArrayList<>(this.sockets)) {
			socket.close();
		}
	}

	/**
	 * Handles a request by writing the response, or closes the connection.
	 */
	@FunctionalInterface
	interface RequestHandler {

		void handle(Request request, Socket socket) throws IOException;

	}

	/**
	 * A received request.
	 *
	 * @param requestLine the first line, with method, path and version
	 * @param headers the headers by name in lower case
	 * @param body the body
	 */
	record Request(String requestLine, Map<String, String> headers, String body) {
	}

}
