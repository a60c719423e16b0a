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
 * A server on the loopback interface; the test writes each byte of its responses.
 */
final class RawServer implements Closeable {

	private final ServerSocket socket;

	private final Script script;

	private final List<Socket> open = new CopyOnWriteArrayList<>();

	final AtomicInteger connections = new AtomicInteger();

	final List<String> heads = new CopyOnWriteArrayList<>();

	RawServer(Script script) throws IOException {
		this.script = script;
		this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread.ofPlatform().daemon().start(this::accept);
	}

	int port() {
		return this.socket.getLocalPort();
	}

	private void accept() {
		try {
			while (true) {
				Socket caller = this.socket.accept();
				this.open.add(caller);
				this.connections.incrementAndGet();
				Thread.ofPlatform().daemon().start(() -> serve(caller));
			}
		}
		catch (IOException ex) {
			// The test has closed the server.
		}
	}

	private void serve(Socket caller) {
		try (caller) {
			InputStream in = new BufferedInputStream(caller.getInputStream());
			String head = RawCaller.readHead(in);
			while (!head.isEmpty()) {
				this.heads.add(head);
				this.script.answer(head, in, caller);
				head = RawCaller.readHead(in);
			}
		}
		catch (IOException ex) {
			// The connection was closed by either side.
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
		for (Socket caller : this.open) {
			caller.close();
		}
	}

	/**
	 * Answers one request. The server reads the next one after {@code answer} returns.
	 */
	@FunctionalInterface
	interface Script {

		void answer(String head, InputStream in, Socket caller) throws IOException;

	}

}
