package org.lovagevale.node.http;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend server on the loopback interface that reads the heads of requests and leaves
 * everything else to a handler, which reads and writes the bytes of the connection.
 *
 * <p>
 * Thread-safe.
 */
final class RawServer implements Closeable {

	private final ServerSocket serverSocket;

	private final RequestHandler handler;

	private final List<Socket> connections = new CopyOnWriteArrayList<>();

	final AtomicInteger connectionCount = new AtomicInteger();

	final List<String> requestHeads = new CopyOnWriteArrayList<>();

	RawServer(RequestHandler handler) throws IOException {
		this.handler = handler;
		this.serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread.ofPlatform().daemon().start(this::accept);
	}

	int port() {
		return this.serverSocket.getLocalPort();
	}

	private void accept() {
		try {
			while (true) {
				Socket connection = this.serverSocket.accept();
				this.connections.add(connection);
				this.connectionCount.incrementAndGet();
				Thread.ofPlatform().daemon().start(() -> serve(connection));
			}
		}
		catch (IOException ex) {
			// The test has closed the server.
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			InputStream in = new BufferedInputStream(connection.getInputStream());
			String head = RawCaller.readHead(in);
			while (!head.isEmpty()) {
				this.requestHeads.add(head);
				this.handler.handle(head, in, connection);
				head = RawCaller.readHead(in);
			}
		}
		catch (IOException ex) {
			// The connection was closed by either side.
		}
	}

	@Override
	public void close() throws IOException {
		this.serverSocket.close();
		for (Socket connection : this.connections) {
			connection.close();
		}
	}

	/**
	 * Handles the requests of all connections, possibly several at the same time.
	 */
	@FunctionalInterface
	interface RequestHandler {

		/**
		 * Handles one request. The server reads the next request of the connection after
		 * this method returns.
		 * @param head the head of the request, including the empty line
		 * @param in the input of the connection, from the first byte after the head on
		 * @param connection the connection, which the handler may close
		 * @throws IOException if the connection is closed
		 */
		void handle(String head, InputStream in, Socket connection) throws IOException;

	}

}
