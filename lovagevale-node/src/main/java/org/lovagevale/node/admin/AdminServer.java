package org.lovagevale.node.admin;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.LogLine;
import org.lovagevale.node.http.HttpServerException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * The HTTP server for operators.
 *
 * <p>
 * Pages are built outside the event loops, since building a page may parse the whole
 * settings tree. Thread-safe.
 */
public final class AdminServer {

	private static final Logger LOG = LoggerFactory.getLogger(AdminServer.class);

	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

	private static final int MAX_CONNECTIONS = 32;

	private final AdminPages pages;

	private final LoopResources loops;

	private @Nullable DisposableServer server;

	/**
	 * Creates a server that does not listen yet.
	 * @param source the state shown to operators
	 * @param loops the event loops
	 */
	public AdminServer(AdminSource source, LoopResources loops) {
		this.pages = new AdminPages(source);
		this.loops = loops;
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
				.idleTimeout(IDLE_TIMEOUT)
				.maxConnections(MAX_CONNECTIONS)
				.handle(this::handle)
				.bindNow();
			this.server = bound;
			return bound.port();
		}
		catch (RuntimeException ex) {
			throw new HttpServerException("cannot listen for operators on " + host + ":" + port, ex);
		}
	}

	/**
	 * Closes the port.
	 */
	public synchronized void close() {
		if (this.server != null) {
			this.server.dispose();
			this.server = null;
		}
	}

	private Mono<Void> handle(HttpServerRequest request, HttpServerResponse out) {
		if (!request.method().equals(HttpMethod.GET)) {
			return write(out, Reply.notFound("Use GET."));
		}
		return Mono.fromCallable(() -> this.pages.buildPage(pathOf(request.uri())))
			.subscribeOn(Schedulers.boundedElastic())
			.onErrorResume((error) -> Mono.just(logFailure(error)))
			.flatMap((reply) -> write(out, reply));
	}

	// QueryStringDecoder.path() is not used, since it decodes a plus sign in a path as a
	// space.
	private static String pathOf(String uri) {
		String raw = new QueryStringDecoder(uri).rawPath();
		return URLDecoder.decode(raw.replace("+", "%2B"), StandardCharsets.UTF_8);
	}

	private static Reply logFailure(Throwable error) {
		LOG.error("{}", LogLine.event("admin.failed"), error);
		return Reply.unavailable(new Problem("The page could not be made; see the log."));
	}

	private static Mono<Void> write(HttpServerResponse out, Reply reply) {
		byte[] body = reply.body().getBytes(StandardCharsets.UTF_8);
		return out.status(reply.status())
			.header(HttpHeaderNames.CONTENT_TYPE, reply.type())
			.header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(body.length))
			.sendByteArray(Mono.just(body))
			.then();
	}

}
