package org.lovagevale.standins.relay;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;
import org.lovagevale.standins.http.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A TCP relay that forwards bytes between a source, which connects to the relay, and a
 * target, to which the relay connects. It can delay, hold or discard the bytes and reset
 * the connections.
 *
 * <p>
 * Each direction of a connection has one virtual thread that reads and another that
 * writes, so that reading continues during a delay and the delay does not limit the
 * throughput. Thread-safe.
 */
public final class TcpRelay implements AutoCloseable {

	private static final Logger log = LoggerFactory.getLogger(TcpRelay.class);

	private static final int CHUNK_BYTES = 65_536;

	// Limits the memory for each direction of a connection to 4 MiB. When the queue is
	// full, the relay
	// stops reading, so that TCP flow control stops the sender.
	private static final int MAX_QUEUED_CHUNKS = 64;

	private static final int CONNECT_TIMEOUT_MS = 2_000;

	private static final int BACKLOG = 512;

	private final String name;

	private final InetSocketAddress target;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final AtomicLong connections = new AtomicLong();

	private final AtomicLong bytesToTarget = new AtomicLong();

	private final AtomicLong bytesToSource = new AtomicLong();

	private final Object monitor = new Object();

	private RelayRules rules = RelayRules.forward();

	private @Nullable ServerSocket listener;

	/**
	 * Creates a relay that does not listen yet.
	 * @param name its name
	 * @param target the address to connect to
	 */
	public TcpRelay(String name, InetSocketAddress target) {
		this.name = name;
		this.target = target;
	}

	/**
	 * Starts to accept connections.
	 * @param host the address to listen on
	 * @param port the port, 0 for any
	 * @return the port in use
	 * @throws IOException if the port cannot be opened
	 */
	public int start(String host, int port) throws IOException {
		ServerSocket serverSocket = new ServerSocket(port, BACKLOG, InetAddress.getByName(host));
		this.listener = serverSocket;
		Thread.ofVirtual().name("relay-" + this.name).start(() -> acceptConnections(serverSocket));
		return serverSocket.getLocalPort();
	}

	/**
	 * Returns the name.
	 * @return the name of the relay
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Changes the rules of open and new connections.
	 * @param change computes the new rules from the current ones
	 */
	public void change(UnaryOperator<RelayRules> change) {
		synchronized (this.monitor) {
			this.rules = change.apply(this.rules);
			this.monitor.notifyAll();
		}
	}

	/**
	 * Changes members of the rules.
	 * @param members the members to replace, by name, with their new values
	 * @throws IllegalArgumentException if the rules have no such member
	 */
	public void change(JsonNode members) {
		change((current) -> Json.replaceMembers(current, RelayRules.class, members));
	}

	/**
	 * Resets all open connections.
	 */
	public void reset() {
		this.sockets.forEach(TcpRelay::reset);
	}

	/**
	 * Returns the statistics.
	 * @return the current rules and the counters
	 */
	public RelayStats stats() {
		synchronized (this.monitor) {
			return new RelayStats(this.name, this.rules, this.connections.get(), this.bytesToTarget.get(),
					this.bytesToSource.get());
		}
	}

	@Override
	public void close() {
		closeQuietly(this.listener);
		reset();
		change((current) -> RelayRules.forward());
	}

	private void acceptConnections(ServerSocket serverSocket) {
		while (!serverSocket.isClosed()) {
			try {
				Socket source = serverSocket.accept();
				Thread.ofVirtual().start(() -> handleConnection(source));
			}
			catch (IOException ex) {
				log.debug("event=relay.accept-ended relay={} reason=\"{}\"", this.name, ex.getMessage());
			}
		}
	}

	private void handleConnection(Socket source) {
		this.connections.incrementAndGet();
		if (currentRules().refuse()) {
			reset(source);
			return;
		}
		Socket targetSocket = new Socket();
		this.sockets.add(source);
		this.sockets.add(targetSocket);
		try {
			// A network partition also prevents new connections to the target.
			awaitWhileHeld(true);
			source.setTcpNoDelay(true);
			targetSocket.setTcpNoDelay(true);
			targetSocket.connect(this.target, CONNECT_TIMEOUT_MS);
			startForwarding(source, targetSocket, true);
			startForwarding(targetSocket, source, false);
		}
		catch (IOException ex) {
			closeBoth(source, targetSocket);
		}
	}

	private void startForwarding(Socket from, Socket to, boolean towardsTarget) {
		BlockingQueue<Chunk> queue = new ArrayBlockingQueue<>(MAX_QUEUED_CHUNKS);
		Thread.ofVirtual().start(() -> read(from, queue));
		Thread.ofVirtual().start(() -> write(from, to, queue, towardsTarget));
	}

	private static void read(Socket from, BlockingQueue<Chunk> queue) {
		byte[] buffer = new byte[CHUNK_BYTES];
		try {
			InputStream input = from.getInputStream();
			int count = input.read(buffer);
			while (count >= 0) {
				queue.put(Chunk.data(Arrays.copyOf(buffer, count)));
				count = input.read(buffer);
			}
			queue.put(Chunk.withoutData(ChunkKind.END));
		}
		catch (IOException ex) {
			closeQuietly(from);
			putReset(queue);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void putReset(BlockingQueue<Chunk> queue) {
		try {
			queue.put(Chunk.withoutData(ChunkKind.RESET));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// The end of the stream and a reset are held like bytes, because a network partition
	// blocks them as well.
	private void write(Socket from, Socket to, BlockingQueue<Chunk> queue, boolean towardsTarget) {
		try {
			Chunk chunk = queue.take();
			while (chunk.kind() == ChunkKind.DATA) {
				awaitDelay(chunk);
				forwardData(chunk, to, towardsTarget);
				chunk = queue.take();
			}
			awaitWhileHeld(towardsTarget);
			forwardEnd(chunk.kind(), from, to);
		}
		catch (IOException ex) {
			closeQuietly(to);
			drain(queue);
			this.sockets.remove(to);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void forwardEnd(ChunkKind kind, Socket from, Socket to) throws IOException {
		if (kind == ChunkKind.RESET) {
			reset(to);
			this.sockets.remove(to);
			return;
		}
		to.shutdownOutput();
		if (from.isOutputShutdown()) {
			closeBoth(from, to);
		}
	}

	// Drains the queue after the writer has failed, so that the reader does not block on
	// a full queue.
	private static void drain(BlockingQueue<Chunk> queue) {
		try {
			while (queue.take().kind() == ChunkKind.DATA) {
				Thread.onSpinWait();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void forwardData(Chunk chunk, Socket to, boolean towardsTarget) throws IOException {
		if (currentRules().mode(towardsTarget) == LinkMode.DISCARD) {
			return;
		}
		awaitWhileHeld(towardsTarget);
		to.getOutputStream().write(chunk.bytes());
		(towardsTarget ? this.bytesToTarget : this.bytesToSource).addAndGet(chunk.bytes().length);
	}

	private void awaitDelay(Chunk chunk) throws InterruptedException {
		long dueNanos = chunk.readAtNanos() + TimeUnit.MILLISECONDS.toNanos(currentRules().delayMs());
		long waitNanos = dueNanos - System.nanoTime();
		if (waitNanos > 0) {
			TimeUnit.NANOSECONDS.sleep(waitNanos);
		}
	}

	private void awaitWhileHeld(boolean towardsTarget) throws IOException {
		synchronized (this.monitor) {
			while (this.rules.mode(towardsTarget) == LinkMode.HOLD) {
				try {
					this.monitor.wait();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
					throw new IOException("interrupted while the relay held bytes", ex);
				}
			}
		}
	}

	private RelayRules currentRules() {
		synchronized (this.monitor) {
			return this.rules;
		}
	}

	private void closeBoth(Socket one, Socket other) {
		this.sockets.remove(one);
		this.sockets.remove(other);
		closeQuietly(one);
		closeQuietly(other);
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
		}
		catch (IOException ex) {
			log.debug("event=relay.linger-failed reason=\"{}\"", ex.getMessage());
		}
		closeQuietly(socket);
	}

	private static void closeQuietly(@Nullable AutoCloseable resource) {
		if (resource == null) {
			return;
		}
		try {
			resource.close();
		}
		catch (Exception ex) {
			log.debug("event=relay.close-failed reason=\"{}\"", ex.getMessage());
		}
	}

	/**
	 * The kind of a chunk.
	 */
	private enum ChunkKind {

		/** Bytes were read. */
		DATA,

		/** The end of the stream was reached. */
		END,

		/** The connection was reset or failed in another way. */
		RESET

	}

	/**
	 * Bytes read from a socket, or the end or reset of the stream.
	 *
	 * @param kind whether bytes, the end of the stream or a reset was read
	 * @param bytes the bytes, empty unless the kind is {@link ChunkKind#DATA}
	 * @param readAtNanos the value of {@link System#nanoTime()} at the time of the read
	 */
	private record Chunk(ChunkKind kind, byte[] bytes, long readAtNanos) {

		private static Chunk data(byte[] bytes) {
			return new Chunk(ChunkKind.DATA, bytes, System.nanoTime());
		}

		private static Chunk withoutData(ChunkKind kind) {
			return new Chunk(kind, new byte[0], System.nanoTime());
		}

	}

	/**
	 * Statistics of a relay.
	 *
	 * @param name the name of the relay
	 * @param rules the current rules
	 * @param connections number of accepted connections, including refused ones
	 * @param bytesToTarget bytes forwarded to the target
	 * @param bytesToSource bytes forwarded to the source
	 */
	public record RelayStats(String name, RelayRules rules, long connections, long bytesToTarget, long bytesToSource) {
	}

}
