package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a server: sound unless a case gives it another behaviour.
 */
final class BackEnd {

	private static final int QUEUE = 6;

	private static final long START_EPOCH_MS = System.currentTimeMillis() - 60_000;

	private final String id;

	private final String service;

	private final int slots;

	private final String host = Lab.newHost();

	private final ServerSocket listening;

	private final Semaphore free;

	private final AtomicInteger waiting = new AtomicInteger();

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	/** Number of runs by the id of the request. */
	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private volatile Behaviour behaviour = BackEnd::workAndAnswer;

	/** What a server does with a request that it begins to run. */
	interface Behaviour {

		void run(Request request) throws IOException;

	}

	BackEnd(String id, String service, int slots) throws IOException {
		this.id = id;
		this.service = service;
		this.slots = slots;
		this.free = new Semaphore(slots);
		this.listening = new ServerSocket(0, 260, InetAddress.getByName(this.host));
		Thread.ofVirtual().start(this::accept);
	}

	private static void workAndAnswer(Request request) throws IOException {
		Lab.sleep(20);
		request.answer("served by " + request.server.id + " for " + request.requestId());
	}

	String id() {
		return this.id;
	}

	void behave(Behaviour next) {
		this.behaviour = next;
	}

	int runs(String requestId) {
		return this.runs.getOrDefault(requestId, 0);
	}

	int runCount() {
		return this.runs.size();
	}

	/** The entry of this server in the store. */
	String entry(String zone, String state, int sequence) {
		return entry(zone, state, sequence, START_EPOCH_MS);
	}

	String entry(String zone, String state, int sequence, long startedAtEpochMs) {
		return "{\"Service\":\"" + this.service + "\",\"Address\":\"" + this.host + ":" + this.listening.getLocalPort()
				+ "\",\"Zone\":\"" + zone + "\",\"Version\":\"v1\",\"Slots\":" + this.slots + ",\"State\":\"" + state
				+ "\",\"WarmupLeft\":\"0ms\",\"Sequence\":" + sequence + ",\"born\":" + startedAtEpochMs + "}";
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listening.accept();
				Thread.ofVirtual().start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			Lab.note("server " + this.id + " ended: " + ex.getMessage());
		}
	}

	private void serve(Socket socket) {
		this.open.add(socket);
		try (socket) {
			socket.setTcpNoDelay(true);
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
				Request request = new Request(this, head, in, socket);
				if (!serve(request)) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The gateway closed the connection.
		}
		finally {
			this.open.remove(socket);
		}
	}

	/** Ends the server: its port and its channels close, and its work is cut. */
	void exit() {
		Lab.note("server " + this.id + " exits with " + this.open.size() + " open channels");
		try {
			this.listening.close();
			for (Socket socket : this.open) {
				socket.close();
			}
		}
		catch (IOException ex) {
			Lab.note("server " + this.id + ": " + ex.getMessage());
		}
	}

	private boolean serve(Request request) throws IOException {
		if (request.path().equals("/health")) {
			request.write("HTTP/1.1 200 OK\r\nX-Lovagevale-Instance-Id: " + this.id + "\r\n" + loadHeader()
					+ "Content-Length: 0\r\n\r\n");
			return true;
		}
		String expected = request.head().header(Http.EXPECTED_INSTANCE);
		if (expected != null && !expected.equals(this.id)) {
			request.readBody();
			request.write("HTTP/1.1 421 Misdirected Request\r\n" + Http.ID + ": " + request.requestId()
					+ "\r\nX-Lovagevale-Instance-Id: " + this.id + "\r\nContent-Length: 0\r\n\r\n");
			return true;
		}
		if (this.waiting.incrementAndGet() > this.slots + QUEUE) {
			this.waiting.decrementAndGet();
			request.readBody();
			request.write("HTTP/1.1 503 Service Unavailable\r\n" + Http.ID + ": " + request.requestId()
					+ "\r\nX-Lovagevale-Not-Executed: 1\r\n" + loadHeader() + "Content-Length: 0\r\n\r\n");
			return true;
		}
		this.free.acquireUninterruptibly();
		try {
			this.runs.merge(request.requestId(), 1, Integer::sum);
			this.behaviour.run(request);
		}
		finally {
			this.free.release();
			this.waiting.decrementAndGet();
		}
		return !request.isClosed();
	}

	private String loadHeader() {
		int running = this.slots - this.free.availablePermits();
		return "X-Lovagevale-Server-Load: " + running + "," + Math.max(0, this.waiting.get() - running) + ","
				+ this.slots + ",100\r\n";
	}

	/** A request that a server runs. */
	static final class Request {

		private final BackEnd server;

		private final Http.Head head;

		private final InputStream in;

		private final Socket socket;

		private boolean bodyRead;

		private Request(BackEnd server, Http.Head head, InputStream in, Socket socket) {
			this.server = server;
			this.head = head;
			this.in = in;
			this.socket = socket;
		}

		Http.Head head() {
			return this.head;
		}

		String path() {
			return this.head.startWords()[1];
		}

		String requestId() {
			return String.valueOf(this.head.header(Http.ID));
		}

		InputStream in() {
			return this.in;
		}

		Socket socket() {
			return this.socket;
		}

		boolean isClosed() {
			return this.socket.isClosed();
		}

		void readBody() throws IOException {
			if (!this.bodyRead) {
				this.bodyRead = true;
				Http.readBody(this.in, this.head);
			}
		}

		void write(String text) throws IOException {
			OutputStream out = this.socket.getOutputStream();
			out.write(text.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
		}

		/** Reads the body and answers with success. */
		void answer(String body) throws IOException {
			readBody();
			write("HTTP/1.1 200 OK\r\n" + Http.ID + ": " + requestId() + "\r\n" + Http.SIGNATURE + ": "
					+ this.server.id + "." + body.hashCode() + "\r\n" + this.server.loadHeader() + "Content-Length: "
					+ body.length() + "\r\n\r\n" + body);
		}

	}

}
