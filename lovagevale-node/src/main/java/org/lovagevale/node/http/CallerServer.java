package org.lovagevale.node.http;

import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.core.RequestHead;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.event.AddressesAsked;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.OutcomeAsked;
import org.lovagevale.gateway.http.ServerConnections;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * The HTTP server for callers.
 *
 * <p>
 * Thread-safe.
 */
public final class CallerServer {

	private static final String RESERVED_PREFIX = "/.lovagevale/";

	private static final String ADDRESSES_PATH = RESERVED_PREFIX + "addresses";

	private static final String OUTCOME_PATH_PREFIX = RESERVED_PREFIX + "outcome/";

	private static final int MAX_REQUEST_LINE_BYTES = 8_192;

	/** Largest total size of the request headers in bytes. */
	private static final int MAX_REQUEST_HEADERS_BYTES = 16_384;

	// A connection takes up to about 10 KiB of heap, so this many fit into the heap of a
	// small VM.
	private static final int MAX_CONNECTIONS = 4_096;

	/** Longest idle time of a connection between two requests. */
	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

	/**
	 * Time without activity before which a connection is not closed as idle, in
	 * milliseconds.
	 */
	private static final long MIN_IDLE_BEFORE_CLOSE_MS = 300;

	private static final int BAD_REQUEST = 400;

	private static final int NOT_FOUND = 404;

	private static final int METHOD_NOT_ALLOWED = 405;

	private final EntryExchangeContext context;

	private final LoopResources loops;

	private final AtomicLong lastRequestId;

	private final ServerConnections connections = new ServerConnections(MIN_IDLE_BEFORE_CLOSE_MS);

	private @Nullable DisposableServer server;

	/**
	 * Creates a server that does not listen yet.
	 * @param context the objects that all requests share
	 * @param loops the event loops
	 * @param initialRequestId the request number before the first; requests are numbered
	 * upwards from it
	 */
	public CallerServer(EntryExchangeContext context, LoopResources loops, long initialRequestId) {
		this.context = context;
		this.loops = loops;
		this.lastRequestId = new AtomicLong(initialRequestId);
	}

	/**
	 * Starts to accept connections; blocks until the port is open.
	 * @param host the IP address
	 * @param port the TCP port, 0 for any
	 * @return the port
	 * @throws HttpServerException if the port cannot be opened
	 */
	public synchronized int listen(String host, int port) throws HttpServerException {
		try {
			DisposableServer bound = HttpServer.create()
				.host(host)
				.port(port)
				.runOn(this.loops)
				.protocol(HttpProtocol.HTTP11)
				.compress(false)
				.idleTimeout(IDLE_TIMEOUT)
				.maxConnections(MAX_CONNECTIONS)
				.option(ChannelOption.SO_BACKLOG, ServerConnections.ACCEPT_BACKLOG)
				.option(ChannelOption.RECVBUF_ALLOCATOR, ServerConnections.acceptAllWaiting())
				.doOnChannelInit((observer, channel, address) -> this.connections.add(channel))
				.childOption(ChannelOption.TCP_NODELAY, true)
				.httpRequestDecoder((spec) -> spec.maxInitialLineLength(MAX_REQUEST_LINE_BYTES)
					.maxHeaderSize(MAX_REQUEST_HEADERS_BYTES))
				.handle(this::handle)
				.bindNow();
			this.server = bound;
			return bound.port();
		}
		catch (RuntimeException ex) {
			throw new HttpServerException("cannot listen for callers on " + host + ":" + port, ex);
		}
	}

	/**
	 * Stops accepting connections. Those that callers have opened already are accepted
	 * first, since closing the port would reset them. Open connections are not affected.
	 */
	public synchronized void stopAccepting() {
		DisposableServer listening = this.server;
		if (listening != null) {
			this.server = null;
			this.connections.closePort(listening.channel(), listening::dispose);
		}
	}

	/**
	 * Closes the connections without a request in progress, and waits until the others
	 * and the port are closed as well. Each response closes its connection during a
	 * planned stop.
	 * @param timeoutMs the maximum time to wait, in milliseconds
	 * @return the number of connections that are still open
	 */
	public int closeConnections(long timeoutMs) {
		return this.connections.close(timeoutMs);
	}

	private Mono<Void> handle(HttpServerRequest request, HttpServerResponse out) {
		Channel channel = channelOf(request);
		this.connections.requestStarted(channel);
		return respond(request, out).doFinally((signal) -> this.connections.requestEnded(channel));
	}

	private Mono<Void> respond(HttpServerRequest request, HttpServerResponse out) {
		RequestId id = new RequestId(this.lastRequestId.incrementAndGet());
		try {
			RequestHead head = RequestHeadParser.read(request, addressOf(request));
			if (head.path().startsWith(RESERVED_PREFIX)) {
				return handleQuery(id, head, request, out);
			}
			return new EntryExchange(id, head, request, out, channelOf(request), this.context).run();
		}
		catch (MalformedRequestException ex) {
			return reject(out, request.method(), BAD_REQUEST, "malformed-request", ex.getMessage());
		}
	}

	private Mono<Void> handleQuery(RequestId id, RequestHead head, HttpServerRequest request, HttpServerResponse out) {
		HttpMethod method = request.method();
		if (!method.equals(HttpMethod.GET)) {
			return reject(out, method, METHOD_NOT_ALLOWED, "method-not-allowed", "Use GET.");
		}
		if (head.path().equals(ADDRESSES_PATH)) {
			return handleAddressesQuery(id, head, request, out);
		}
		if (head.path().startsWith(OUTCOME_PATH_PREFIX)) {
			String key = URLDecoder.decode(head.path().substring(OUTCOME_PATH_PREFIX.length()), StandardCharsets.UTF_8);
			return runQuery(id, new OutcomeAsked(id, key), request, out);
		}
		return reject(out, method, NOT_FOUND, "no-such-path",
				"Use " + ADDRESSES_PATH + " or " + OUTCOME_PATH_PREFIX + "<key>.");
	}

	private Mono<Void> handleAddressesQuery(RequestId id, RequestHead head, HttpServerRequest request,
			HttpServerResponse out) {
		QueryStringDecoder query = new QueryStringDecoder(head.query(), false);
		try {
			ServiceName service = new ServiceName(firstParameter(query, "service").orElse(""));
			AccountName account = firstParameter(query, "account").map(AccountName::new).orElse(null);
			AddressesAsked asked = new AddressesAsked(id, service, account, head.callerAddress());
			return runQuery(id, asked, request, out);
		}
		catch (IllegalArgumentException ex) {
			return reject(out, request.method(), BAD_REQUEST, "malformed-request",
					"Give a valid service and, if any, a valid account.");
		}
	}

	private Mono<Void> runQuery(RequestId id, Event query, HttpServerRequest request, HttpServerResponse out) {
		out.header(HeaderNames.REQUEST_ID, id.toString()).header(HeaderNames.VM, this.context.vm().value());
		return new CallerQuery(id, request.method(), out).run(query, this.context.engine(),
				channelOf(request).eventLoop());
	}

	private static Optional<String> firstParameter(QueryStringDecoder query, String name) {
		return query.parameters().getOrDefault(name, List.of()).stream().findFirst();
	}

	private Mono<Void> reject(HttpServerResponse out, HttpMethod method, int status, String reason,
			@Nullable String message) {
		out.header(HeaderNames.VM, this.context.vm().value()).keepAlive(false);
		return ResponseWriter.writeProblem(out, method, status, reason, "not-run", String.valueOf(message));
	}

	private static Channel channelOf(HttpServerRequest request) {
		Channel[] result = new Channel[1];
		request.withConnection((connection) -> result[0] = connection.channel());
		return result[0];
	}

	private static String addressOf(HttpServerRequest request) {
		InetSocketAddress address = request.remoteAddress();
		return (address != null && address.getAddress() != null) ? address.getAddress().getHostAddress() : "";
	}

}
